package org.kumquatplank.core.dispatch;

/**
 * Load that a backend server stated with an answer.
 *
 * @param running requests that it runs
 * @param waiting requests in its queue
 * @param slots requests that it runs at once
 * @param slowness how long work takes there now, 1 as usual
 * @param at time of the answer, microseconds
 */
public record ReportedLoad(int running, int waiting, int slots, double slowness, long at) {}
