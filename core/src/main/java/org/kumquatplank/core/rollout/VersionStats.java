package org.kumquatplank.core.rollout;

/**
 * Responses of one software version, counted since the start of a rollout.
 *
 * <p>Immutable and thread-safe.
 *
 * @param succeeded number of complete responses
 * @param failed number of failures
 * @param totalMillisPerUnit sum over the complete responses of the time per unit of output,
 *     milliseconds
 * @param inFlight number of in-flight requests
 * @param slow number of complete responses that took much longer than is usual for their route
 * @param overdue number of requests that are in flight, or were cancelled, after much more time
 *     than is usual for their route
 */
public record VersionStats(
    int succeeded, int failed, long totalMillisPerUnit, int inFlight, int slow, int overdue) {
  /** No responses. */
  public static final VersionStats NONE = of(0, 0, 0, 0);

  /** Returns counts without slow or overdue requests. */
  public static VersionStats of(int succeeded, int failed, long totalMillisPerUnit, int inFlight) {
    return new VersionStats(succeeded, failed, totalMillisPerUnit, inFlight, 0, 0);
  }

  /** Returns the sum of this and the other counts. */
  public VersionStats plus(VersionStats other) {
    return new VersionStats(
        succeeded + other.succeeded,
        failed + other.failed,
        totalMillisPerUnit + other.totalMillisPerUnit,
        inFlight + other.inFlight,
        slow + other.slow,
        overdue + other.overdue);
  }

  /**
   * Returns the counts since an earlier state of the same counts. Requests in flight are gauges and
   * stay as they are.
   */
  public VersionStats since(VersionStats earlier) {
    return new VersionStats(
        succeeded - earlier.succeeded,
        failed - earlier.failed,
        totalMillisPerUnit - earlier.totalMillisPerUnit,
        inFlight,
        slow - earlier.slow,
        Math.max(0, overdue - earlier.overdue));
  }

  /** Returns the number of requests that were sent to the version. */
  public int requestCount() {
    return succeeded + failed + inFlight;
  }

  /** Returns the number of responses that are known to take much longer than usual. */
  public int slowCount() {
    return slow + overdue;
  }

  /** Returns the ratio of slow responses to those whose time can be judged, 0 if there are none. */
  public double slowRatio() {
    int judged = succeeded + overdue;
    return judged == 0 ? 0 : (double) slowCount() / judged;
  }

  /** Returns the number of responses, including failures. */
  public int responseCount() {
    return succeeded + failed;
  }

  /**
   * Returns whether the ratio of slow responses is at most the given one, or at most the given
   * multiple of that of the other versions.
   */
  boolean isSlowAtMost(double ratio, double factor, VersionStats others) {
    return slowRatio() <= Math.max(ratio, factor * others.slowRatio());
  }

  /** Returns the ratio of failures, 0 if there are no responses. */
  public double failureRatio() {
    return responseCount() == 0 ? 0 : (double) failed / responseCount();
  }

  /** Returns the mean time per unit of output, milliseconds, 0 if no response is complete. */
  public double meanMillisPerUnit() {
    return succeeded == 0 ? 0 : (double) totalMillisPerUnit / succeeded;
  }
}
