package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.ReaderElection;
import org.kumquatplank.core.relay.TopicCursor;
import org.kumquatplank.core.relay.TopicUpdate;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreException;
import org.kumquatplank.platform.store.StoreRecord;

/**
 * Follows one topic of the store: first a snapshot of the newest records, then each change.
 *
 * <p>Changes are read from the store or received from the peer of the region that is elected to
 * read it. A gap in the received offsets is filled by reading; if the store no longer retains the
 * changes, or has come back from an older copy, a new snapshot is read. Confined to the control
 * thread.
 */
final class StoreFollower {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long INITIAL_BACKOFF_MILLIS = 150;
  private static final long MAX_BACKOFF_MILLIS = 600;

  /**
   * Longest pause between two failed reads. Peers with smaller names try more often, and tell this
   * instance when the store is back.
   */
  private static final long MAX_RETRY_PAUSE_MILLIS = 6_000;

  /**
   * Longest pause between two failed reads while a peer has later changes than this instance. They
   * may be too large for an update, so that no peer can send them.
   */
  private static final long MAX_GAP_RETRY_PAUSE_MILLIS = 600;

  /** How often an instance that is not the elected reader checks whether it has become so. */
  private static final long ELECTION_CHECK_MILLIS = 400;

  /** Source of records that this instance has read itself. */
  private static final String STORE_SOURCE = "store";

  private final EventLoop loop;
  private final StoreClient store;
  private final Topic topic;
  private final ReaderElection election;
  private final Listener listener;
  private final TopicCursor<StoreRecord> cursor =
      TopicCursor.create(StoreRecord::position, StoreRecord::key);
  private LogPosition lastListed = LogPosition.unknownIn(LogPosition.NO_ERA);
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private long lastConfirmedAt = Clock.micros();
  private boolean failing;
  private boolean following;
  private boolean listingRequested;
  private String lastSource = STORE_SOURCE;

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
   * @param waitMillis long-poll wait of a read at the store, milliseconds
   * @param pauseMillis pause between two reads, milliseconds
   */
  record Topic(String name, long waitMillis, long pauseMillis) {}

  /**
   * How current this instance is in the topic.
   *
   * @param next position up to which all changes have been applied; its offset is unknown before
   *     the snapshot
   * @param confirmedAt when the last answer of the store or update of a peer arrived, microseconds
   * @param lastSource who delivered the last records: "store", or the name of a peer
   * @param following whether a peer reads the topic for this instance
   */
  record Status(LogPosition next, long confirmedAt, String lastSource, boolean following) {}

  /** Receives the records of the topic. */
  interface Listener {
    /**
     * Handles a snapshot with the newest record of each key, which may be a deletion.
     *
     * @param end end of the log when the snapshot was read
     */
    void onSnapshot(List<StoreRecord> records, LogPosition end);

    /**
     * Called before the changes of a peer that has named a later era are applied.
     *
     * @param position a position of the new era
     */
    void onEraReplaced(LogPosition position);

    /**
     * Handles the first snapshot after the store has come back from an older copy; returns what
     * peers need that are unable to read it.
     *
     * @param end end of the log when the snapshot was read
     */
    List<StoreRecord> onRestored(List<StoreRecord> records, LogPosition end);

    /**
     * Handles later records, in order; returns all but those that repeat the value of their key.
     * Deletions are always returned.
     */
    List<StoreRecord> onChanges(List<StoreRecord> records);

    /** Called when the store responds again after an outage of that length, microseconds. */
    void onRecovered(long outageMicros);

    /** Called after each successful read of the elected reader, to send its result to peers. */
    void onConfirmed(TopicUpdate<StoreRecord> update);
  }

  void start() {
    readSnapshot();
  }

  Status status() {
    return new Status(cursor.next(), lastConfirmedAt, lastSource, following);
  }

  /**
   * Requests to read what this instance lacks, although a peer may be reading the topic for it.
   *
   * <p>If this instance has reached the position of the peer, a change was lost below it, and the
   * topic is listed anew; so it is if the position is of another era.
   *
   * @param peer position of a peer that has a newer state
   */
  void requestCatchUp(LogPosition peer) {
    if (cursor.next().isBefore(peer)) {
      cursor.requestRead();
    } else if (!cursor.isListing()) {
      listingRequested = true;
    }
  }

  /** Returns whether the change at that position needs no further handling here. */
  boolean hasApplied(LogPosition position) {
    return position.isBefore(cursor.next()) && !cursor.isListing();
  }

  /** Sets the names of the live peers that may read the topic for this instance. */
  void setLivePeers(Collection<String> names) {
    election.setLivePeers(names);
  }

  /** Returns whether this instance reads the topic itself. */
  boolean isReader() {
    return election.isReader(Clock.micros());
  }

  /** Returns the peer that reads the topic for this instance, if any. */
  Optional<String> reader() {
    return election.reader(Clock.micros());
  }

  private void readSnapshot() {
    cursor.beginListing();
    listingRequested = false;
    store
        .readNewest(topic.name())
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                onReadFailed(failure, this::readSnapshot, 0);
                return;
              }
              onReadSucceeded();
              lastSource = STORE_SOURCE;
              runLoggingFailures(
                  () -> onListed(new TopicUpdate<>(page.next(), page.next(), page.records())));
              loop.schedule(this::readIfElected, topic.pauseMillis(), TimeUnit.MILLISECONDS);
            });
  }

  /** A listing of an earlier era than a peer has named is dropped, and read again. */
  private void onListed(TopicUpdate<StoreRecord> listed) {
    Optional<List<StoreRecord>> newest = cursor.onListed(listed);
    if (newest.isEmpty()) {
      return;
    }
    LogPosition before = lastListed;
    lastListed = listed.next();
    if (!before.isKnown() || before.isInEraOf(lastListed)) {
      listener.onSnapshot(newest.get(), lastListed);
      return;
    }
    EdgeLog.event("store_restored")
        .addKeyValue("topic", topic.name())
        .addKeyValue("before", before)
        .addKeyValue("end", lastListed)
        .addKeyValue("records", newest.get().size())
        .log();
    List<StoreRecord> news = listener.onRestored(newest.get(), lastListed);
    if (election.isReader(Clock.micros())) {
      listener.onConfirmed(new TopicUpdate<>(lastListed, lastListed, news));
    }
  }

  private void readIfElected() {
    boolean reader = election.isReader(Clock.micros());
    if (reader && following) {
      setFollowing(false, STORE_SOURCE);
    }
    if (listingRequested || cursor.needsListing()) {
      readSnapshot();
    } else if (cursor.hasGap() || reader) {
      read();
    } else {
      loop.schedule(this::readIfElected, ELECTION_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void setFollowing(boolean nowFollowing, String source) {
    long now = Clock.micros();
    following = nowFollowing;
    EdgeLog.event("topic_source")
        .addKeyValue("topic", topic.name())
        .addKeyValue("source", source)
        .addKeyValue("offset", cursor.next())
        .addKeyValue("age_ms", (now - lastConfirmedAt) / 1_000)
        .log();
  }

  private void read() {
    LogPosition from = cursor.beginRead();
    store
        .read(topic.name(), from, topic.waitMillis())
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                cursor.onReadFailed();
                boolean mustList = requiresListing(failure);
                onReadFailed(
                    failure,
                    mustList ? this::readSnapshot : this::readIfElected,
                    mustList ? 0 : election.rank());
                return;
              }
              onReadSucceeded();
              TopicUpdate<StoreRecord> read = new TopicUpdate<>(from, page.next(), page.records());
              runLoggingFailures(() -> onRead(read));
              loop.schedule(this::readIfElected, topic.pauseMillis(), TimeUnit.MILLISECONDS);
            });
  }

  /** Peers receive the updates of the reader; others only read what they lack themselves. */
  private void onRead(TopicUpdate<StoreRecord> read) {
    Optional<TopicUpdate<StoreRecord>> update = cursor.onRead(read, r -> apply(r, STORE_SOURCE));
    if (update.isPresent() && election.isReader(Clock.micros())) {
      listener.onConfirmed(update.get());
    }
  }

  private List<StoreRecord> apply(List<StoreRecord> records, String source) {
    lastSource = source;
    return listener.onChanges(records);
  }

  /**
   * Applies an update of a peer. If it begins after the next expected offset, the gap is read from
   * the store.
   */
  void onUpdate(String sender, TopicUpdate<StoreRecord> update, long confirmedAt) {
    if (lastListed.isKnown() && cursor.next().isReplacedBy(update.next())) {
      listener.onEraReplaced(update.next());
    }
    AtomicBoolean applied = new AtomicBoolean();
    runLoggingFailures(() -> applied.set(cursor.onUpdate(update, r -> apply(r, sender))));
    boolean outdated = update.next().isBefore(cursor.next());
    if (!applied.get() || outdated) {
      return;
    }
    election.recordConfirmation(sender, confirmedAt);
    if (!following && election.reader(Clock.micros()).isPresent()) {
      setFollowing(true, sender);
    }
    if (failing && !cursor.isListing()) {
      onStoreRecovered(sender);
    }
    lastConfirmedAt = Math.max(lastConfirmedAt, confirmedAt);
  }

  private static boolean requiresListing(Throwable failure) {
    return unwrap(failure) instanceof StoreException e && e.requiresListing();
  }

  private static Throwable unwrap(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  private void runLoggingFailures(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      EdgeLog.problem("store_follower." + topic.name(), e);
    }
  }

  private void onReadSucceeded() {
    long now = Clock.micros();
    if (failing) {
      onStoreRecovered("store");
      runLoggingFailures(() -> listener.onRecovered(now - lastConfirmedAt));
    }
    lastConfirmedAt = now;
    election.recordRead(now);
  }

  private void onStoreRecovered(String source) {
    failing = false;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    EdgeLog.event("store_regained")
        .addKeyValue("topic", topic.name())
        .addKeyValue("from", source)
        .addKeyValue("outage_ms", (Clock.micros() - lastConfirmedAt) / 1_000)
        .log();
  }

  /**
   * Schedules another read.
   *
   * @param peersAhead number of live peers that try before this instance
   */
  private void onReadFailed(Throwable failure, Runnable retry, int peersAhead) {
    if (!failing && !requiresListing(failure)) {
      failing = true;
      EdgeLog.event("store_lost")
          .addKeyValue("topic", topic.name())
          .addKeyValue("cause", String.valueOf(unwrap(failure).getMessage()))
          .log();
    }
    long pause = Math.min(MAX_RETRY_PAUSE_MILLIS, backoffMillis * (1 + peersAhead));
    long gapPause = Math.min(MAX_GAP_RETRY_PAUSE_MILLIS, pause);
    long now = Clock.micros();
    awaitRetry(retry, now + pause * MICROS_PER_MILLI, now + gapPause * MICROS_PER_MILLI);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
  }

  /** Retries at a time, or at an earlier one if changes are known to be missing by then. */
  private void awaitRetry(Runnable retry, long retryAt, long gapRetryAt) {
    long now = Clock.micros();
    if (now >= retryAt || (now >= gapRetryAt && cursor.hasGap())) {
      retry.run();
      return;
    }
    long next = now >= gapRetryAt ? retryAt : gapRetryAt;
    long pause = Math.min(ELECTION_CHECK_MILLIS * MICROS_PER_MILLI, next - now);
    loop.schedule(() -> awaitRetry(retry, retryAt, gapRetryAt), pause, TimeUnit.MICROSECONDS);
  }

  /** Returns the records of a snapshot as a map by key. */
  static Map<String, StoreRecord> byKey(List<StoreRecord> records) {
    Map<String, StoreRecord> result = new HashMap<>();
    records.forEach(r -> result.put(r.key(), r));
    return result;
  }

  /** Passes a record to a consumer, and logs a record that can't be decoded. */
  static void applyOrLog(StoreRecord record, Consumer<StoreRecord> consumer) {
    try {
      consumer.accept(record);
    } catch (RuntimeException e) {
      EdgeLog.event("unreadable_record")
          .addKeyValue("key", record.key())
          .addKeyValue("offset", record.position())
          .addKeyValue("problem", String.valueOf(e.getMessage()))
          .log();
    }
  }
}
