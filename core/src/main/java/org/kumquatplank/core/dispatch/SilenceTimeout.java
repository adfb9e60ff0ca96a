package org.kumquatplank.core.dispatch;

import org.kumquatplank.core.catalog.Route;

/**
 * How long a request waits for a silent backend server before it goes elsewhere.
 *
 * <p>Answers two loads that look alike to one request: an engine that reads a long prompt makes all
 * others wait but goes on answering some of them; a dead one answers nobody. Leaving a busy engine
 * makes things worse, as the prompt is read again elsewhere. Immutable and thread-safe.
 */
public final class SilenceTimeout {
  private static final long MICROS_PER_MILLI = 1_000;

  /** A backend server that answered nobody for this long may be dead, microseconds. */
  private static final long QUIET_MICROS = 900_000;

  /** Parts of the target after which an answer is overdue. */
  private static final double QUIET_TARGET_SHARE = 0.4;

  private static final double BUSY_TARGET_SHARE = 1.2;

  /** Parts of the longest allowed pause after which the next event is overdue. */
  private static final double QUIET_GAP_SHARE = 0.7;

  private static final double BUSY_GAP_SHARE = 2;

  /** How much longer than expected an answer may take. */
  private static final double EXPECTED_FACTOR = 3;

  private SilenceTimeout() {}

  /**
   * Returns how long the silence may last, microseconds.
   *
   * @param expectedMicros expected time to the first event or the answer, microseconds
   * @param begun whether events have come already
   */
  public static long micros(
      Route route, BackendState backend, double expectedMicros, boolean begun, long now) {
    boolean quiet = now - backend.progressAt() > QUIET_MICROS;
    if (begun) {
      double share = quiet ? QUIET_GAP_SHARE : BUSY_GAP_SHARE;
      return (long) (share * route.gapMillis() * MICROS_PER_MILLI);
    }
    double share = quiet ? QUIET_TARGET_SHARE : BUSY_TARGET_SHARE;
    double bound = share * route.targetMillis() * MICROS_PER_MILLI;
    return (long) Math.max(bound, EXPECTED_FACTOR * expectedMicros);
  }
}
