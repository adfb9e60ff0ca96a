/**
 * The HTTP/1.1 server and client for services that use blocking I/O.
 *
 * <p>The server limits connections, sizes and times, and serves each connection on a virtual
 * thread. The client pools connections and reports whether a failed request may have been sent; it
 * starts no threads.
 */
package org.kumquatplank.http;
