/**
 * Decision where requests may be served: regions of routes and client accounts, and failure domains
 * that the operator evacuates.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: callers pass times in
 * microseconds of a monotonic clock.
 */
package org.kumquatplank.core.placement;
