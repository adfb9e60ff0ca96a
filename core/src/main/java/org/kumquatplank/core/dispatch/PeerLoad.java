package org.kumquatplank.core.dispatch;

/**
 * What a peer has under way at one backend server.
 *
 * @param backend id of the backend server
 * @param requests requests under way
 * @param unreadTokens prompt tokens sent that have not led to a first event yet
 * @param suspect whether the peer found it failing or silent
 */
public record PeerLoad(String backend, int requests, int unreadTokens, boolean suspect) {}
