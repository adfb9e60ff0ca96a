/**
 * Gradual rollouts of new software versions of services, based on evidence from all instances.
 *
 * <p>The package owns the state of each rollout. It does no I/O, starts no threads and reads no
 * clock: callers pass times in microseconds of a monotonic clock.
 */
package org.kumquatplank.core.rollout;
