package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreException;
import org.kumquatplank.platform.store.StoreRecord;

/**
 * Follows one topic of the store: all newest records first, then each change.
 *
 * <p>Confined to the control thread. A lost history or a break is made good by a new listing.
 */
final class StoreFollower {
  private static final long FIRST_PAUSE_MILLIS = 150;
  private static final long LONGEST_PAUSE_MILLIS = 600;

  private final EventLoop loop;
  private final StoreClient store;
  private final String topic;
  private final long waitMillis;
  private final long pauseMillis;
  private final Listener listener;
  private long next = -1;
  private long failurePause = FIRST_PAUSE_MILLIS;
  private long lastGoodAt = Clock.micros();
  private boolean failing;

  /**
   * Prepares to follow a topic.
   *
   * @param waitMillis how long a read waits at the store for a change, milliseconds
   * @param pauseMillis pause between two reads, milliseconds
   */
  StoreFollower(
      EventLoop loop,
      StoreClient store,
      String topic,
      long waitMillis,
      long pauseMillis,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.topic = topic;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
    this.listener = listener;
  }

  /** Takes what the topic holds. */
  interface Listener {
    /** All newest records. */
    void onListing(List<StoreRecord> records);

    /** Records that were written since. */
    void onChanges(List<StoreRecord> records);

    /** The store answers again after it had not for that long, microseconds. */
    void onRegained(long outageMicros);
  }

  void start() {
    list();
  }

  private void list() {
    store
        .newest(topic)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                onFailure(failure, this::list);
                return;
              }
              onGood();
              next = page.next();
              guard(() -> listener.onListing(page.records()));
              loop.schedule(this::read, pauseMillis, TimeUnit.MILLISECONDS);
            });
  }

  private void read() {
    store
        .read(topic, next, waitMillis)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                onFailure(failure, isHistoryGone(failure) ? this::list : this::read);
                return;
              }
              onGood();
              next = Math.max(next, page.next());
              if (!page.records().isEmpty()) {
                guard(() -> listener.onChanges(page.records()));
              }
              loop.schedule(this::read, pauseMillis, TimeUnit.MILLISECONDS);
            });
  }

  private static boolean isHistoryGone(Throwable failure) {
    return unwrap(failure) instanceof StoreException e && e.isHistoryGone();
  }

  private static Throwable unwrap(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  private void guard(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      EdgeLog.problem("store_follower." + topic, e);
    }
  }

  private void onGood() {
    long now = Clock.micros();
    if (failing) {
      failing = false;
      failurePause = FIRST_PAUSE_MILLIS;
      EdgeLog.event("store_regained")
          .addKeyValue("topic", topic)
          .addKeyValue("outage_ms", (now - lastGoodAt) / 1_000)
          .log();
      guard(() -> listener.onRegained(now - lastGoodAt));
    }
    lastGoodAt = now;
  }

  private void onFailure(Throwable failure, Runnable again) {
    if (!failing && !isHistoryGone(failure)) {
      failing = true;
      EdgeLog.event("store_lost")
          .addKeyValue("topic", topic)
          .addKeyValue("cause", String.valueOf(unwrap(failure).getMessage()))
          .log();
    }
    loop.schedule(again, failurePause, TimeUnit.MILLISECONDS);
    failurePause = Math.min(LONGEST_PAUSE_MILLIS, 2 * failurePause);
  }

  /** Folds a listing into a map by key. */
  static Map<String, StoreRecord> byKey(List<StoreRecord> records) {
    Map<String, StoreRecord> result = new HashMap<>();
    records.forEach(r -> result.put(r.key(), r));
    return result;
  }

  /** Does something with a record, and logs one that can't be read. */
  static void each(StoreRecord record, Consumer<StoreRecord> use) {
    try {
      use.accept(record);
    } catch (RuntimeException e) {
      EdgeLog.event("unreadable_record")
          .addKeyValue("key", record.key())
          .addKeyValue("offset", record.offset())
          .addKeyValue("problem", String.valueOf(e.getMessage()))
          .log();
    }
  }
}
