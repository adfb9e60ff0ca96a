/**
 * Admission of requests while backend servers have no room: the order in which they wait, the
 * forecast of their start, and the time at which a rejected caller returns.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: callers pass times in
 * microseconds of a monotonic clock.
 */
package org.kumquatplank.core.admission;
