/**
 * The link between instances: authenticated, length-prefixed protobuf frames over TCP.
 *
 * <p>It owns the listener, the outbound connections, the event loop threads and the virtual threads
 * on which received frames are handled. The frames are defined in {@code link.proto}.
 */
package org.kumquatplank.link;
