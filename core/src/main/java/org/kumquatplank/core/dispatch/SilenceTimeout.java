package org.kumquatplank.core.dispatch;

import org.kumquatplank.core.catalog.Route;

/**
 * Computes how long a request waits for a silent backend server before it is sent elsewhere.
 *
 * <p>Distinguishes two causes that look alike to one request. During the prefill of a long prompt
 * an engine delays all other requests but still makes progress on some of them; a failed engine
 * makes no progress on any. Moving requests away from a busy engine adds load, because the prefill
 * is repeated elsewhere. Stateless and thread-safe.
 */
public final class SilenceTimeout {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Silence towards all requests after which a backend server may have failed, microseconds. */
  private static final long BACKEND_SILENT_MICROS = 900_000;

  /** Ratio of the latency target after which a response of a silent backend server is overdue. */
  private static final double SILENT_TARGET_RATIO = 0.4;

  /** The same for a backend server that makes progress on other requests. */
  private static final double BUSY_TARGET_RATIO = 1.2;

  /** Ratio of the maximum gap after which the next event of a silent backend server is overdue. */
  private static final double SILENT_GAP_RATIO = 0.7;

  /** The same for a backend server that makes progress on other requests. */
  private static final double BUSY_GAP_RATIO = 2;

  /** Multiple of the expected latency that a response may take. */
  private static final double EXPECTED_LATENCY_FACTOR = 3;

  private SilenceTimeout() {}

  /**
   * Returns the maximum silence of a backend server, microseconds.
   *
   * @param expectedLatencyMicros expected time to the first event or the response, microseconds
   * @param responseStarted whether events have been received already
   */
  public static long timeoutMicros(
      Route route,
      BackendState backend,
      double expectedLatencyMicros,
      boolean responseStarted,
      long now) {
    boolean silent = now - backend.lastProgressAt() > BACKEND_SILENT_MICROS;
    if (responseStarted) {
      double ratio = silent ? SILENT_GAP_RATIO : BUSY_GAP_RATIO;
      return (long) (ratio * route.maxGapMillis() * MICROS_PER_MILLI);
    }
    double ratio = silent ? SILENT_TARGET_RATIO : BUSY_TARGET_RATIO;
    double targetTimeout = ratio * route.latencyTargetMillis() * MICROS_PER_MILLI;
    return (long) Math.max(targetTimeout, EXPECTED_LATENCY_FACTOR * expectedLatencyMicros);
  }
}
