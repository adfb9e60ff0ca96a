package org.kumquatplank.core.routing;

import java.util.Optional;
import org.kumquatplank.core.config.WorkClass;

/**
 * A request, with the attributes that routing decisions are based on.
 *
 * @param id unique identifier of the request
 * @param account name of the client account
 * @param workClass work class, which sets the targets for quality, time and cost
 * @param promptTokens length of the prompt in tokens
 * @param pinnedVersion model version that must serve the request, set by a session or by the second
 *     step of a cascade; empty if the router may choose
 * @param stickySession whether later requests of the caller must be served by the same version
 * @param arrivalMicros arrival time, in microseconds
 */
public record RoutingRequest(
    String id,
    String account,
    WorkClass workClass,
    long promptTokens,
    Optional<String> pinnedVersion,
    boolean stickySession,
    long arrivalMicros) {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Returns the deadline for the complete response, in microseconds. */
  public long responseDeadline() {
    return arrivalMicros + workClass.finishMillis() * MICROS_PER_MILLI;
  }

  /** Returns the deadline for the first token, in microseconds. */
  public long firstTokenDeadline() {
    return arrivalMicros + workClass.firstTokenMillis() * MICROS_PER_MILLI;
  }
}
