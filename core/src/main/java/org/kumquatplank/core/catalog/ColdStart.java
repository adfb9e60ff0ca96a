package org.kumquatplank.core.catalog;

/**
 * How the backend servers of a service behave while they are cold.
 *
 * <p>A server is cold for a time after its start, and may become cold again at any moment. While
 * cold it is slow, and it crashes under many requests.
 *
 * @param durationMillis time for which a server is cold after its start, milliseconds
 * @param requestsPerSecond requests a second that a cold server tolerates from all instances
 *     together
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {}
