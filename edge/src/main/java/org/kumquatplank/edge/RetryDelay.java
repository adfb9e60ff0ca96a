package org.kumquatplank.edge;

import java.util.OptionalLong;

/** Computes when a rejected caller should retry. Stateless and thread-safe. */
final class RetryDelay {
  /** Short, so that a caller retries at another instance at once while this one drains. */
  static final double LEAVING_SECONDS = 0.02;

  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double BASE_SECONDS = 0.15;

  /** Spreads the callers that were rejected at the same time. */
  private static final double JITTER_SECONDS = 0.25;

  private static final double MIN_SECONDS = 0.01;

  /** A later retry would leave too little time for the response. */
  private static final double MAX_RATIO_OF_TIME_LEFT = 1.0 / 3;

  private RetryDelay() {}

  /**
   * Returns the delay, seconds.
   *
   * @param deadlineMicros deadline of the request, microseconds
   * @param notBefore time before which the request would be rejected again, microseconds, if known
   */
  static double seconds(long deadlineMicros, OptionalLong notBefore, long now) {
    double delay = BASE_SECONDS + JITTER_SECONDS * Math.random();
    if (notBefore.isPresent()) {
      return delay + Math.max(0, notBefore.getAsLong() - now) / MICROS_PER_SECOND;
    }
    double secondsLeft = (deadlineMicros - now) / MICROS_PER_SECOND;
    return Math.max(MIN_SECONDS, Math.min(secondsLeft * MAX_RATIO_OF_TIME_LEFT, delay));
  }
}
