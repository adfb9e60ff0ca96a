package org.kumquatplank.edge;

/** Computes when a caller should retry whom no backend server takes until a known time. */
final class RetryDelay {
  /** Short, so that a caller retries at another instance at once while this one drains. */
  static final double LEAVING_SECONDS = 0.02;

  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double BASE_SECONDS = 0.15;

  /** Spreads the callers that were rejected at the same time. */
  private static final double JITTER_SECONDS = 0.25;

  private RetryDelay() {}

  /**
   * Returns the delay, seconds.
   *
   * @param notBefore time before which the request would be rejected again, microseconds
   */
  static double seconds(long notBefore, long now) {
    double delay = BASE_SECONDS + JITTER_SECONDS * Math.random();
    return delay + Math.max(0, notBefore - now) / MICROS_PER_SECOND;
  }
}
