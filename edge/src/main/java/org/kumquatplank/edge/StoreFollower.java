package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.kumquatplank.core.relay.ReaderElection;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreException;
import org.kumquatplank.platform.store.StoreRecord;

/**
 * Follows one topic of the store: all newest records first, then each change.
 *
 * <p>Changes are read from the store or told by another instance of the region that reads it; a
 * lost history or a gap is made good by reading. Confined to the control thread.
 */
final class StoreFollower {
  private static final long FIRST_PAUSE_MILLIS = 150;
  private static final long LONGEST_PAUSE_MILLIS = 600;

  /** How often an instance that does not read looks whether it has to. */
  private static final long DUTY_MILLIS = 400;

  private final EventLoop loop;
  private final StoreClient store;
  private final Topic topic;
  private final ReaderElection election;
  private final Listener listener;
  private long next = -1;
  private long failurePause = FIRST_PAUSE_MILLIS;
  private long lastGoodAt = Clock.micros();
  private boolean failing;
  private boolean listing;
  private boolean missedSome;

  StoreFollower(
      EventLoop loop, StoreClient store, Topic topic, ReaderElection election, Listener listener) {
    this.loop = loop;
    this.store = store;
    this.topic = topic;
    this.election = election;
    this.listener = listener;
  }

  /**
   * A topic and how it is read.
   *
   * @param name name in the store
   * @param waitMillis how long a read waits at the store for a change, milliseconds
   * @param pauseMillis pause between two reads, milliseconds
   */
  record Topic(String name, long waitMillis, long pauseMillis) {}

  /**
   * What other instances are told after a read.
   *
   * @param from offset that the read began at
   * @param next offset that the next read begins at
   * @param changed records that changed something
   */
  record Told(long from, long next, List<StoreRecord> changed) {}

  /** Takes what the topic holds. */
  interface Listener {
    /** All newest records. */
    void onListing(List<StoreRecord> records);

    /** Records that were written since; returns those that changed something. */
    List<StoreRecord> onChanges(List<StoreRecord> records);

    /** The store answers again after it had not for that long, microseconds. */
    void onRegained(long outageMicros);

    /** The store has confirmed what it holds; others can be told. */
    void onConfirmed(Told told);
  }

  void start() {
    list();
  }

  private void list() {
    listing = true;
    store
        .newest(topic.name())
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                onFailure(failure, this::list);
                return;
              }
              onGood();
              listing = false;
              next = page.next();
              guard(() -> listener.onListing(page.records()));
              loop.schedule(this::readIfDue, topic.pauseMillis(), TimeUnit.MILLISECONDS);
            });
  }

  private void readIfDue() {
    if (missedSome || election.reads(Clock.micros())) {
      read();
    } else {
      loop.schedule(this::readIfDue, DUTY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void read() {
    long from = next;
    store
        .read(topic.name(), from, topic.waitMillis())
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                onFailure(failure, isHistoryGone(failure) ? this::list : this::readIfDue);
                return;
              }
              onGood();
              guard(() -> listener.onConfirmed(new Told(from, page.next(), take(page))));
              loop.schedule(this::readIfDue, topic.pauseMillis(), TimeUnit.MILLISECONDS);
            });
  }

  /** Takes the records that were not known yet, and returns those that changed something. */
  private List<StoreRecord> take(StoreClient.Page page) {
    List<StoreRecord> fresh = page.records().stream().filter(r -> r.offset() >= next).toList();
    next = Math.max(next, page.next());
    missedSome = false;
    return fresh.isEmpty() ? List.of() : listener.onChanges(fresh);
  }

  /** Takes what another instance tells; what was missed before it is read from the store. */
  void onTold(String sender, Told told, long confirmedAt) {
    if (listing || next < 0) {
      return;
    }
    if (told.from() > next) {
      missedSome = true;
      return;
    }
    guard(() -> take(new StoreClient.Page(told.changed(), told.next())));
    election.heard(sender, confirmedAt);
    if (failing) {
      regained(sender);
    }
    lastGoodAt = Math.max(lastGoodAt, confirmedAt);
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
      EdgeLog.problem("store_follower." + topic.name(), e);
    }
  }

  private void onGood() {
    long now = Clock.micros();
    if (failing) {
      regained("store");
      guard(() -> listener.onRegained(now - lastGoodAt));
    }
    lastGoodAt = now;
  }

  private void regained(String source) {
    failing = false;
    failurePause = FIRST_PAUSE_MILLIS;
    EdgeLog.event("store_regained")
        .addKeyValue("topic", topic.name())
        .addKeyValue("from", source)
        .addKeyValue("outage_ms", (Clock.micros() - lastGoodAt) / 1_000)
        .log();
  }

  private void onFailure(Throwable failure, Runnable again) {
    if (!failing && !isHistoryGone(failure)) {
      failing = true;
      EdgeLog.event("store_lost")
          .addKeyValue("topic", topic.name())
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
