package org.kumquatplank.bench;

import org.kumquatplank.core.routing.RoutingRequest;

/**
 * A simulated request with properties that are hidden from the policy.
 *
 * @param routingRequest request as the policy sees it
 * @param outputTokens actual length of the response in tokens
 * @param instance index of the instance that receives the request
 */
record SimRequest(RoutingRequest routingRequest, int outputTokens, int instance) {}
