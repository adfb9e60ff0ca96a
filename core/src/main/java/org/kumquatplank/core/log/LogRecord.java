package org.kumquatplank.core.log;

/**
 * One record of a stream.
 *
 * @param offset position in the stream, starting at 0
 * @param text text of the record, unchanged since its append
 */
public record LogRecord(long offset, String text) {}
