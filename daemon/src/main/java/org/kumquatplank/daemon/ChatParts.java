package org.kumquatplank.daemon;

import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.platform.PlatformRatings;

/**
 * What every chat request needs.
 *
 * @param serving the control state, for running requests
 * @param caller sends requests to engines
 * @param bills takes the bills
 * @param evidence has answers rated
 * @param judge rates the first answers of cascades
 * @param log takes a line a request
 */
record ChatParts(
    Serving serving,
    PooledHttpClient client,
    BillTracker bills,
    Evidence evidence,
    PlatformRatings judge,
    RequestLog log) {}
