/**
 * The configuration in force: routes, services, credentials and limits, and the registrations of
 * backend servers.
 *
 * <p>All types are immutable; the package does no I/O and starts no threads.
 */
package org.kumquatplank.core.catalog;
