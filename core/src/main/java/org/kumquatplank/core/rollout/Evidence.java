package org.kumquatplank.core.rollout;

/**
 * Responses of one software version, counted since the start of a rollout.
 *
 * <p>Immutable and thread-safe.
 *
 * @param good number of complete responses
 * @param bad number of failures
 * @param paceMillis sum over the complete responses of the time per unit of output, milliseconds
 * @param open number of in-flight requests
 */
public record Evidence(int good, int bad, long paceMillis, int open) {
  /** No responses. */
  public static final Evidence NONE = new Evidence(0, 0, 0, 0);

  /** Returns the sum of this and the other counts. */
  public Evidence plus(Evidence other) {
    return new Evidence(
        good + other.good, bad + other.bad, paceMillis + other.paceMillis, open + other.open);
  }

  /** Returns the number of responses, including failures. */
  public int responseCount() {
    return good + bad;
  }

  /** Returns the ratio of failures, 0 if there are no responses. */
  public double failureRatio() {
    return responseCount() == 0 ? 0 : (double) bad / responseCount();
  }

  /** Returns the mean time per unit of output, milliseconds, 0 if no response is complete. */
  public double meanMillisPerUnit() {
    return good == 0 ? 0 : (double) paceMillis / good;
  }
}
