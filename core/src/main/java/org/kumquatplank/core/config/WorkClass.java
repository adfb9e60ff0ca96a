package org.kumquatplank.core.config;

/**
 * A class of requests and its service-level targets.
 *
 * @param name unique name, which callers send in the request field {@code model}
 * @param quality minimum mean rating, from 0 to 1
 * @param firstTokenMillis target for the time to first token, in milliseconds
 * @param finishMillis target for the time to the complete response, in milliseconds
 * @param maxCostMicros maximum cost of one request, in millionths of the currency unit
 * @param whenUnmet policy for a request for which no plan meets the targets
 */
public record WorkClass(
    String name,
    double quality,
    long firstTokenMillis,
    long finishMillis,
    long maxCostMicros,
    WhenUnmet whenUnmet)
    implements Named {

  /** The policy for a request for which no plan meets the targets of its class. */
  public enum WhenUnmet {
    /** Use the plan with the best quality. */
    BEST,
    /** Reject the request. */
    REFUSE
  }
}
