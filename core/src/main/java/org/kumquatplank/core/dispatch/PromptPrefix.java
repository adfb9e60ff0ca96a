package org.kumquatplank.core.dispatch;

/**
 * A part of a prompt, which other requests may share.
 *
 * @param id name of the part
 * @param tokens its length in tokens
 */
public record PromptPrefix(String id, int tokens) {}
