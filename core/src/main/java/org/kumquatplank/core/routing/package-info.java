/**
 * Routing decisions: which model version and backend server serve a request, when it is sent, and
 * whether it is rejected.
 *
 * <p>The package performs no I/O and starts no threads. Callers pass in events and the current time
 * and carry out the returned actions. The stateful types are not thread-safe. Times are in
 * microseconds of one monotonic clock.
 */
package org.kumquatplank.core.routing;
