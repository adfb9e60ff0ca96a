package org.kumquatplank.bench;

import org.kumquatplank.core.routing.RoutingRequest;

/**
 * A request with what only the workload knows.
 *
 * @param work the request as the policy sees it
 * @param tokens true length of the answer
 * @param instance number of the instance that the caller chose
 */
record SimRequest(RoutingRequest work, int tokens, int instance) {}
