package org.kumquatplank.daemon;

/**
 * One message of a conversation.
 *
 * @param role role of the author, such as user or assistant
 * @param content text of the message
 */
record ChatMessage(String role, String content) {}
