package org.kumquatplank.core.routing;

/**
 * Waiting work of one kind, short or long, and how much of that kind is running.
 *
 * <p>Not thread-safe.
 */
final class AdmissionQueue {
  private final FairQueue queue = new FairQueue();
  private final boolean longWork;
  private int running;

  AdmissionQueue(boolean longWork) {
    this.longWork = longWork;
  }

  FairQueue queue() {
    return queue;
  }

  boolean isLong() {
    return longWork;
  }

  void begin() {
    running++;
  }

  void end() {
    running--;
  }

  /** Returns the expected wait of new work of the account, in microseconds. */
  double expectedWait(String account) {
    return queue.microsAhead(account) / Math.max(1, running);
  }
}
