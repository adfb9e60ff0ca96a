package org.kumquatplank.core.routing;

/**
 * The queued requests of one length category, short or long, and the number of in-flight ones.
 *
 * <p>Not thread-safe.
 */
final class AdmissionQueue {
  private final FairQueue requests = new FairQueue();
  private final boolean longRequests;
  private int inFlight;

  AdmissionQueue(boolean longRequests) {
    this.longRequests = longRequests;
  }

  FairQueue requests() {
    return requests;
  }

  boolean isLong() {
    return longRequests;
  }

  void incrementInFlight() {
    inFlight++;
  }

  void decrementInFlight() {
    inFlight--;
  }

  /** Returns the expected queue wait of a new request of the account, in microseconds. */
  double expectedWait(String account) {
    return requests.queuedMicrosAhead(account) / Math.max(1, inFlight);
  }
}
