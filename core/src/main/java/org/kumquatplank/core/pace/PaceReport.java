package org.kumquatplank.core.pace;

/**
 * What one instance has itself observed of the pace of a backend server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backendId id of the backend server
 * @param startedMillis start time of its process, Unix milliseconds
 * @param slowdownPercent latency as a multiple of that of the service at the same load, in percent
 * @param concurrencyLimit concurrent requests that it takes well, 0 if no limit was found
 * @param samples number of recent responses behind these figures
 */
public record PaceReport(
    String backendId, long startedMillis, int slowdownPercent, int concurrencyLimit, int samples) {}
