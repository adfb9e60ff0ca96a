package org.kumquatplank.core.dispatch;

/**
 * Deadlines of an instance that was asked to stop, microseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param acceptUntil time until which requests are accepted, and sent for the first time; one that
 *     is sent later would hardly be complete before the process ends
 * @param closeIdleAt time from which idle connections of callers are closed
 * @param endRequestsAt time at which the requests that are still open get their final response
 * @param exitAt time at which the process ends, whatever is still to be written
 */
public record DrainSchedule(long acceptUntil, long closeIdleAt, long endRequestsAt, long exitAt) {
  private static final long MICROS_PER_MILLI = 1_000;

  /** How long callers that still have the address may need to get another one, microseconds. */
  private static final long MAX_ACCEPT_MICROS = 3_000_000;

  /** Share of the grace period after which no request is accepted in any case. */
  private static final double MAX_ACCEPT_SHARE = 0.375;

  /** Time after the last accepted request, so that rejections reach callers, microseconds. */
  private static final long CLOSE_IDLE_DELAY_MICROS = 500_000;

  /** Time before the end of the grace period that is left to write final responses. */
  private static final long WRITE_MARGIN_MICROS = 500_000;

  /** Time before the end of the grace period, at which the process would be killed. */
  private static final long EXIT_MARGIN_MICROS = 200_000;

  /**
   * Returns the schedule of a stop.
   *
   * @param graceMillis time until the process is killed, milliseconds
   */
  public static DrainSchedule of(long now, long graceMillis) {
    long killAt = now + graceMillis * MICROS_PER_MILLI;
    long acceptMicros =
        Math.min(MAX_ACCEPT_MICROS, (long) (MAX_ACCEPT_SHARE * graceMillis * MICROS_PER_MILLI));
    long acceptUntil = now + acceptMicros;
    long endRequestsAt = Math.max(acceptUntil, killAt - WRITE_MARGIN_MICROS);
    return new DrainSchedule(
        acceptUntil,
        Math.min(acceptUntil + CLOSE_IDLE_DELAY_MICROS, endRequestsAt),
        endRequestsAt,
        Math.max(endRequestsAt, killAt - EXIT_MARGIN_MICROS));
  }
}
