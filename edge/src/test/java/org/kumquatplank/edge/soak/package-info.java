/**
 * A randomized soak test: runs instances as processes, injects faults from outside, and checks that
 * each response is correct, that a request rejected as not run did not run, that non-idempotent
 * requests run at most once, and that every instance serves again after the faults.
 */
package org.kumquatplank.edge.soak;
