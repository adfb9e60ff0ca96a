package org.kumquatplank.core.dispatch;

/**
 * A segment of a prompt that other requests may share.
 *
 * @param id id of the segment
 * @param tokens length of the segment in tokens
 */
public record PromptSegment(String id, int tokens) {}
