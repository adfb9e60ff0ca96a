/**
 * Pace of the backend servers: how long each takes compared with the others of its service, and how
 * many concurrent requests it takes well.
 *
 * <p>The package owns what is learned of each server from the responses of this instance and from
 * the reports of peers. It does no I/O, starts no threads and reads no clock: callers pass times in
 * microseconds of a monotonic clock.
 */
package org.kumquatplank.core.pace;
