/**
 * The router instance for the users' platform: accepts the requests of callers, forwards them to
 * backend servers, and reports for each failed one whether it may have run.
 *
 * <p>Two event loops do the work. The traffic thread owns the connections, in-flight exchanges and
 * the connection pool. The control thread owns the configuration, the list of backend servers, the
 * peers and the roll-outs, and passes what is in force to the traffic thread. The routing decisions
 * are in {@code core}, the wire formats in {@code platform}.
 */
package org.kumquatplank.edge;
