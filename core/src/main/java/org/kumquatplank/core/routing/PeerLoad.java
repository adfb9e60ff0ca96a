package org.kumquatplank.core.routing;

/**
 * In-flight requests of one instance at one backend server.
 *
 * @param backend identity of the backend server
 * @param inFlight number of in-flight requests
 * @param longInFlight number of in-flight requests with a long expected response
 */
public record PeerLoad(String backend, int inFlight, int longInFlight) {}
