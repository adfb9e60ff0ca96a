/**
 * Deadlines and an interface for blocking waits. Waits go through {@link
 * org.kumquatplank.core.time.Sleeper}, so that tests can run schedules on a simulated clock. The
 * package holds no state and starts no threads.
 */
package org.kumquatplank.core.time;
