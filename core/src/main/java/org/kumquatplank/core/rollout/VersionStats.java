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
 */
public record VersionStats(int succeeded, int failed, long totalMillisPerUnit, int inFlight) {
  /** No responses. */
  public static final VersionStats NONE = new VersionStats(0, 0, 0, 0);

  /** Returns the sum of this and the other counts. */
  public VersionStats plus(VersionStats other) {
    return new VersionStats(
        succeeded + other.succeeded,
        failed + other.failed,
        totalMillisPerUnit + other.totalMillisPerUnit,
        inFlight + other.inFlight);
  }

  /** Returns the number of responses, including failures. */
  public int responseCount() {
    return succeeded + failed;
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
