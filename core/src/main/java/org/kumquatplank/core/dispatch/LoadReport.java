package org.kumquatplank.core.dispatch;

/**
 * Load report that a backend server attached to a response.
 *
 * @param running requests that are running
 * @param queued requests in the queue of the server
 * @param slots maximum number of concurrent requests
 * @param slowdownFactor current slowdown of the server, 1 being normal
 * @param receivedAt time at which the response was received, microseconds
 */
public record LoadReport(
    int running, int queued, int slots, double slowdownFactor, long receivedAt) {}
