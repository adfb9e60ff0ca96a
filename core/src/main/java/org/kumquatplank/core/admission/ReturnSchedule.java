package org.kumquatplank.core.admission;

import java.util.OptionalLong;

/**
 * Times at which rejected callers return, one after the other in the order of their rejection.
 *
 * <p>Answers a retry storm: a burst that is rejected at once would come back at once. Each caller
 * gets a time of its own, at the pace at which requests start, and at most a third of the time that
 * it has left. Not thread-safe.
 */
public final class ReturnSchedule {
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** First return after a rejection. */
  private static final long BASE_MICROS = 150_000;

  /** Pause between two returns while the pace of starts is not known. */
  private static final long DEFAULT_PAUSE_MICROS = 2_500;

  /** A later return would leave too little time for the response. */
  private static final long PARTS_OF_TIME_LEFT = 3;

  private static final long MIN_MICROS = 10_000;

  private long nextReturnAt = Long.MIN_VALUE;

  private ReturnSchedule() {}

  /** Returns a schedule without returns. */
  public static ReturnSchedule create() {
    return new ReturnSchedule();
  }

  /**
   * Returns the delay after which a rejected caller should retry, seconds.
   *
   * @param deadline deadline of the request, microseconds
   * @param pauseMicros time between two starts, microseconds, if known
   */
  public double nextSeconds(long deadline, OptionalLong pauseMicros, long now) {
    long longest = Math.max(MIN_MICROS, (deadline - now) / PARTS_OF_TIME_LEFT);
    long at = Math.max(nextReturnAt, now + BASE_MICROS);
    if (at > now + longest) {
      // The schedule is full up to there, so this caller shares the time with others.
      long first = Math.min(BASE_MICROS, longest / 2);
      at = now + first + (long) ((longest - first) * Math.random());
    } else {
      nextReturnAt = at + pauseMicros.orElse(DEFAULT_PAUSE_MICROS);
    }
    return (at - now) / (double) MICROS_PER_SECOND;
  }
}
