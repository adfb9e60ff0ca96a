package org.kumquatplank.core.placement;

import org.kumquatplank.core.catalog.ColdStart;

/**
 * How many instances may send to a cold backend server, and how often each of them.
 *
 * <p>The rate of all of them together is at most the one that the server tolerates, and at most
 * half of the bound if there are other instances. So the bound holds also while instances have two
 * disjoint views of who may send. Immutable and thread-safe.
 *
 * @param senders number of instances that may send
 * @param intervalMicros shortest time between two requests of one of them, microseconds
 */
record ColdLimit(int senders, long intervalMicros) {
  private static final double MICROS_PER_SECOND = 1_000_000;

  /** Limit on the senders; each of more would have to wait for seconds. */
  private static final int MAX_SENDERS = 12;

  /** Makes an interval longer, so that no request more falls into a second. */
  private static final double INTERVAL_MARGIN = 1.02;

  /**
   * Returns the limit.
   *
   * @param start what a cold server of the service tolerates
   * @param bound requests that a cold server may get in any second from all instances together
   * @param instances number of instances that are candidates
   * @param mayBeOthers whether there may be live instances that are none
   */
  static ColdLimit of(ColdStart start, double bound, int instances, boolean mayBeOthers) {
    double half = bound / 2;
    int senders = Math.max(1, Math.min(instances, (int) Math.min(half, MAX_SENDERS)));
    double perSecond =
        Math.min(start.requestsPerSecond(), mayBeOthers || senders < instances ? half : bound);
    double perSender = perSecond / senders;
    double whole = perSender < 1 ? perSender : Math.floor(perSender);
    return new ColdLimit(senders, (long) (MICROS_PER_SECOND * INTERVAL_MARGIN / whole));
  }
}
