package org.kumquatplank.core.log;

import java.util.List;

/**
 * Consecutive records of one stream.
 *
 * @param firstRetained offset of the oldest retained record
 * @param next offset after the last record of this page
 * @param end offset of the next append, as of the time of reading
 * @param records the records, oldest first
 */
public record LogPage(long firstRetained, long next, long end, List<LogRecord> records) {
  /** Copies the list, so that the record is immutable. */
  public LogPage {
    records = List.copyOf(records);
  }

  /** Returns whether this page reaches the end that the stream had at the time of reading. */
  public boolean reachesEnd() {
    return next >= end;
  }
}
