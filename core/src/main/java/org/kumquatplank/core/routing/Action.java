package org.kumquatplank.core.routing;

import org.kumquatplank.core.error.ErrorCode;

/** What the router wants done. */
public sealed interface Action {
  /** Returns the work concerned. */
  RoutingRequest request();

  /**
   * Send the work to a backend server now.
   *
   * @param plan the plan that it is the first part of
   * @param backend identity of the backend server
   */
  record Start(RoutingRequest request, Plan plan, String backend) implements Action {}

  /**
   * Tell the caller that the work won't be done.
   *
   * @param code why
   * @param retryAt time from which a retry may succeed, microseconds
   * @param reason why, in words
   */
  record Refuse(RoutingRequest request, ErrorCode code, long retryAt, String reason) implements Action {}

  /**
   * Tell the caller that the first token will be late.
   *
   * @param expectedStart time at which the work is expected to start, microseconds
   */
  record Delay(RoutingRequest request, long expectedStart) implements Action {}
}
