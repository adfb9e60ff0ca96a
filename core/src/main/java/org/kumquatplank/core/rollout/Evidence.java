package org.kumquatplank.core.rollout;

/**
 * Answers of one version, counted since a roll-out began.
 *
 * <p>Immutable and thread-safe.
 *
 * @param good whole answers
 * @param bad failures
 * @param paceMillis sum over the good answers of the time that each unit of output took, ms
 * @param open requests under way
 */
public record Evidence(int good, int bad, long paceMillis, int open) {
  /** Nothing seen. */
  public static final Evidence NONE = new Evidence(0, 0, 0, 0);

  /** Returns the sum of both. */
  public Evidence plus(Evidence other) {
    return new Evidence(
        good + other.good, bad + other.bad, paceMillis + other.paceMillis, open + other.open);
  }

  /** Returns the number of answers. */
  public int total() {
    return good + bad;
  }

  /** Returns the share of failures, 0 when nothing was seen. */
  public double badShare() {
    return total() == 0 ? 0 : (double) bad / total();
  }

  /** Returns the mean pace of good answers, 0 when nothing was seen. */
  public double meanPace() {
    return good == 0 ? 0 : (double) paceMillis / good;
  }
}
