/**
 * Election of the instances that read the store of the platform, and the buffer of changes that
 * they send to their peers.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: callers pass times in
 * microseconds of a monotonic clock.
 */
package org.kumquatplank.core.relay;
