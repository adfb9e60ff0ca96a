package org.kumquatplank.core.dispatch;

/**
 * This instance's share of the requests a second that a backend server takes from all instances.
 *
 * <p>Each instance has one request per interval, which is longer the more instances there are. A
 * request that is not used expires, and the intervals of the instances begin at random times, so
 * that idle instances don't add up to a burst. Not thread-safe.
 */
final class RateShare {
  /** Part of the limit that is used; the reserve covers instances that see too few peers. */
  private static final double USED_RATIO = 0.8;

  private static final double MICROS_PER_SECOND = 1_000_000;

  /** Time for which a request that may be sent is available. */
  private static final long AVAILABLE_MICROS = 1_000_000;

  /** Rate below which a limit is not followed, as only a response shows that it was lifted. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private final double requestsPerSecond;
  private double availableFrom;

  private RateShare(double requestsPerSecond, double availableFrom) {
    this.requestsPerSecond = requestsPerSecond;
    this.availableFrom = availableFrom;
  }

  /**
   * Returns the share of a limit that a backend server has just named.
   *
   * @param requestsPerSecond limit for all instances together
   * @param instances number of live instances
   * @param phase when the first interval ends, as a part of it, from 0 to 1
   */
  static RateShare create(double requestsPerSecond, int instances, double phase, long now) {
    return new RateShare(requestsPerSecond, now + phase * interval(requestsPerSecond, instances));
  }

  private static double interval(double requestsPerSecond, int instances) {
    double used = USED_RATIO * Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
    return MICROS_PER_SECOND * Math.max(1, instances) / used;
  }

  double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Returns whether a request may be sent now. */
  boolean isAvailable(int instances, long now) {
    double interval = interval(requestsPerSecond, instances);
    if (now > availableFrom + AVAILABLE_MICROS) {
      double missed = Math.ceil((now - AVAILABLE_MICROS - availableFrom) / interval);
      availableFrom += missed * interval;
    }
    return now >= availableFrom;
  }

  /** Records that a request is sent. */
  void recordRequest(int instances, long now) {
    availableFrom = Math.max(now, availableFrom) + interval(requestsPerSecond, instances);
  }
}
