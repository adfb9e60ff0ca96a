/**
 * The list of router instances and backend servers, and deterministic choices among them.
 *
 * <p>All types are immutable or stateless; the package does no I/O and starts no threads.
 */
package org.kumquatplank.core.membership;
