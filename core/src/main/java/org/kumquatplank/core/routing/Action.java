package org.kumquatplank.core.routing;

import org.kumquatplank.core.error.ErrorCode;

/** An instruction of the router, which its caller carries out. */
public sealed interface Action {
  /** Returns the request that the action concerns. */
  RoutingRequest request();

  /**
   * Sends the request to a backend server.
   *
   * @param plan plan whose first step this is
   * @param backend identity of the backend server
   */
  record Send(RoutingRequest request, Plan plan, String backend) implements Action {}

  /**
   * Rejects the request.
   *
   * @param code error code
   * @param retryAtMicros earliest time at which a retry may succeed, in microseconds
   * @param reason explanation for the caller
   */
  record Reject(RoutingRequest request, ErrorCode code, long retryAtMicros, String reason)
      implements Action {}

  /**
   * Notifies the caller that the first token will miss its deadline.
   *
   * @param expectedSendMicros time at which the request is expected to be sent, in microseconds
   */
  record NotifyDelay(RoutingRequest request, long expectedSendMicros) implements Action {}
}
