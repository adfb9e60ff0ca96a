/**
 * Dispatch decisions for each request: the choice of model and backend server, queueing, rejection
 * and retries.
 *
 * <p>The package owns the state of the backend servers, the wait queues and the retry limits of one
 * instance. It does no I/O, starts no threads and reads no clock: callers pass times in
 * microseconds of a monotonic clock. Stateful types are not thread-safe.
 */
package org.kumquatplank.core.dispatch;
