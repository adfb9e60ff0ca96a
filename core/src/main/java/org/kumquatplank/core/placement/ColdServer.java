package org.kumquatplank.core.placement;

/**
 * Whether one process of a backend server is cold, and the share of the requests to it that this
 * instance may send meanwhile.
 *
 * <p>While it is cold, only designated instances send to it, each at most one request an interval.
 * Afterwards the number of instances that may send grows from step to step, since the server looks
 * idle to all of them. Not thread-safe.
 */
public final class ColdServer {
  /** Time in which the number of senders grows by half after the cold time, microseconds. */
  private static final long RAMP_STEP_MICROS = 250_000;

  private static final double RAMP_FACTOR = 1.5;

  /** Time after the cold time from which all instances send as usual, microseconds. */
  private static final long RAMP_MICROS = 2_000_000;

  /** The bound is for any second; what was sent before the news counts, too. */
  private static final long BOUND_MICROS = 1_020_000;

  private long coldUntil = Long.MIN_VALUE / 2;
  private ColdLimit limit = new ColdLimit(1, BOUND_MICROS);
  private int rank = Integer.MAX_VALUE;
  private long nextSendAt = Long.MIN_VALUE;

  ColdServer() {}

  /** Returns the state of a server that has not been cold. */
  public static ColdServer warm() {
    return new ColdServer();
  }

  /** Returns whether the server is cold. */
  public boolean isCold(long now) {
    return now < coldUntil;
  }

  /** Returns whether this instance may send the server a request now. */
  public boolean permits(long now) {
    if (now >= coldUntil + RAMP_MICROS) {
      return true;
    }
    return rank < senders(now) && now >= nextSendAt;
  }

  /** Returns the time from which this instance may send a request, microseconds. */
  public long opensAt() {
    return rank < limit.senders() ? Math.min(nextSendAt, coldUntil) : coldUntil;
  }

  private double senders(long now) {
    long steps = Math.max(0, now - coldUntil) / RAMP_STEP_MICROS;
    return limit.senders() * Math.pow(RAMP_FACTOR, steps);
  }

  /** Counts a request that is about to be sent. */
  public void recordSend(long now) {
    if (now < coldUntil + RAMP_MICROS) {
      nextSendAt = now + limit.intervalMicros();
    }
  }

  /** Returns whether the number of requests to the server is limited. */
  boolean isLimited(long now) {
    return now < coldUntil + RAMP_MICROS;
  }

  /** Returns the end of the cold time, microseconds. */
  long coldUntil() {
    return coldUntil;
  }

  /** Makes the server cold, or changes until when it is. */
  void setColdUntil(long until) {
    coldUntil = until;
  }

  /** Ends all limits. */
  void end() {
    coldUntil = Long.MIN_VALUE / 2;
  }

  /**
   * Sets who may send.
   *
   * @param newRank number of instances that are designated before this one
   */
  void designate(ColdLimit newLimit, int newRank) {
    limit = newLimit;
    rank = newRank;
  }

  /**
   * Sets when this instance may send first, in turn with the others.
   *
   * @param wasInUse whether instances may have sent requests until now
   */
  void startTurns(boolean wasInUse, long now) {
    long turn = Math.min(rank, limit.senders());
    nextSendAt =
        now + (wasInUse ? BOUND_MICROS : 0) + turn * limit.intervalMicros() / limit.senders();
  }
}
