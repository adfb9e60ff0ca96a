package org.kumquatplank.link;

/**
 * The address of a peer's link.
 *
 * @param instance id of the peer's process
 * @param host IP address
 * @param port port that accepts links
 */
public record PeerAddress(String instance, String host, int port) {}
