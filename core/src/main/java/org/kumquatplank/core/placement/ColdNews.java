package org.kumquatplank.core.placement;

/**
 * A process of a backend server that is cold.
 *
 * @param id id of the server
 * @param startedMillis start time of the process, Unix milliseconds
 * @param coldUntil time until which it is cold, microseconds
 */
public record ColdNews(String id, long startedMillis, long coldUntil) {}
