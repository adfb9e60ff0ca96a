/**
 * Decisions on each request at the entry: which model, which backend server, whether it waits, is
 * refused or is repeated.
 *
 * <p>Nothing here does I/O or reads a clock: times are microseconds of a steady clock.
 */
package org.kumquatplank.core.dispatch;
