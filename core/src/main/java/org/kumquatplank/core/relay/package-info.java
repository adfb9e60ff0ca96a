/**
 * Decisions on who reads the platform's store, and what the readers tell the other instances.
 *
 * <p>Nothing here does I/O or reads a clock: times are microseconds of a steady clock.
 */
package org.kumquatplank.core.relay;
