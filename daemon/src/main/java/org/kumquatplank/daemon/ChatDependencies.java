package org.kumquatplank.daemon;

import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.platform.RatingClient;

/**
 * Components that chat requests share.
 *
 * @param router access to routing and control state
 * @param client HTTP client for engines
 * @param billTracker tracks bills until they are in the log
 * @param ratingCollector collects ratings of sampled responses
 * @param ratingService rates the first response of a cascade
 * @param requestLog writes one line per request
 */
record ChatDependencies(
    RouterFacade router,
    PooledHttpClient client,
    BillTracker billTracker,
    RatingCollector ratingCollector,
    RatingClient ratingService,
    RequestLog requestLog) {}
