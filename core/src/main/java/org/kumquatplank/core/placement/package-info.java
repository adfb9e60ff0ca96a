/**
 * Decisions on the backend servers that an instance may use for a request at all: regions, and the
 * requests that cold backend servers may get.
 *
 * <p>The package does no I/O and starts no threads; time is passed in.
 */
package org.kumquatplank.core.placement;
