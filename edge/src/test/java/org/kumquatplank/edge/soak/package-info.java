/**
 * A randomized soak test: runs instances as processes, injects faults from outside, and checks that
 * each response is correct and that non-idempotent requests run at most once.
 */
package org.kumquatplank.edge.soak;
