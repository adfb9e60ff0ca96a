/**
 * Decisions where requests may be served: regions of routes and client accounts, failure domains
 * that the operator evacuates, and the requests that cold backend servers may get.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: callers pass times in
 * microseconds of a monotonic clock.
 */
package org.kumquatplank.core.placement;
