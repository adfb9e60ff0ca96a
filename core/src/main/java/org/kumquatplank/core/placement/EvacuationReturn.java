package org.kumquatplank.core.placement;

/**
 * Decides when an instance uses a server again whose failure domain is taken back.
 *
 * <p>Answers the load at the end of an evacuation: all instances learn of it at nearly the same
 * time, and the servers, being idle, would be the first choice of each of them. The instances come
 * back to a server spread over a time. Stateless and thread-safe.
 */
public final class EvacuationReturn {
  /** Time over which the instances come back to a server, microseconds. */
  static final long SPREAD_MICROS = 1_000_000;

  private EvacuationReturn() {}

  /**
   * Returns the time from which an instance uses a server again, microseconds.
   *
   * @param position position of the instance among all at this server, 0 to 1, such as a random one
   * @param now time at which the failure domain is taken back, microseconds
   */
  public static long usableAt(double position, long now) {
    return now + (long) (position * SPREAD_MICROS);
  }
}
