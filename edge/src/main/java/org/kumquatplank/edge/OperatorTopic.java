package org.kumquatplank.edge;

import java.util.List;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.RestoreGuard;
import org.kumquatplank.core.relay.TopicUpdate;
import org.kumquatplank.platform.store.StoreRecord;

/**
 * The operator's topic: passes on its records, but after a restore of the store not those by which
 * this instance would go back. Confined to the control thread.
 */
final class OperatorTopic implements StoreFollower.Listener {
  private final RestoreGuard<StoreRecord> guard = RestoreGuard.create(new OperatorRecordType());
  private final Receiver receiver;

  OperatorTopic(Receiver receiver) {
    this.receiver = receiver;
  }

  /** Receives the records of the topic. */
  interface Receiver {
    /**
     * Handles the newest record of each key, before those that changed are applied.
     *
     * @param end end of the log when it was listed
     */
    void onListed(List<StoreRecord> newest, LogPosition end);

    /** Handles changed records, in order. */
    void apply(List<StoreRecord> records, boolean areNew);

    /** Called when the store has come back from an older copy. */
    void onStoreRestored();

    /** Called after each successful read of the elected reader, to send its result to peers. */
    void onConfirmed(TopicUpdate<StoreRecord> update);
  }

  @Override
  public void onSnapshot(List<StoreRecord> records, LogPosition end) {
    applyListing(guard.onListed(records, Clock.micros()), end);
  }

  private void applyListing(List<StoreRecord> changed, LogPosition end) {
    receiver.onListed(guard.current(), end);
    receiver.apply(changed, false);
  }

  @Override
  public void onEraReplaced(LogPosition position) {
    guard.onRestored(position, Clock.micros());
  }

  @Override
  public List<StoreRecord> onRestored(List<StoreRecord> records, LogPosition end) {
    receiver.onStoreRestored();
    long now = Clock.micros();
    List<StoreRecord> news = guard.news(records);
    guard.onRestored(end, now);
    applyListing(guard.onListed(records, now), end);
    return news;
  }

  @Override
  public List<StoreRecord> onChanges(List<StoreRecord> records) {
    receiver.apply(guard.onChanges(records, Clock.micros()), true);
    return records;
  }

  /** Applies what was held back after a restore, and has not been replaced since. */
  void applyDue() {
    List<StoreRecord> due = guard.takeDue(Clock.micros());
    if (!due.isEmpty()) {
      receiver.apply(due, false);
    }
  }

  @Override
  public void onRecovered(long outageMicros) {}

  @Override
  public void onConfirmed(TopicUpdate<StoreRecord> update) {
    receiver.onConfirmed(update);
  }
}
