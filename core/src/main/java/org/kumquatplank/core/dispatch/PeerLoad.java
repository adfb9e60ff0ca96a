package org.kumquatplank.core.dispatch;

/**
 * In-flight load of a peer at one backend server, as reported in its digest.
 *
 * @param backendId id of the backend server
 * @param inFlightRequests in-flight requests
 * @param pendingPrefillTokens prompt tokens that were sent and whose prefill is pending
 * @param suspect whether the peer recorded a failure or a silence of the server
 */
public record PeerLoad(
    String backendId, int inFlightRequests, int pendingPrefillTokens, boolean suspect) {}
