package org.kumquatplank.core.log;

import java.time.Instant;

/**
 * An append-only log of named streams, each with its own sequence of offsets.
 *
 * <p>Implementations are thread-safe. An append whose response is lost may still take effect,
 * immediately or later; only reading the stream shows whether it did.
 */
public interface EventLog {
  /**
   * Appends one record.
   *
   * @param stream name of the stream
   * @param record text of the record
   * @param deadline time until which to wait for the response
   * @return the offset of the record
   * @throws LogException with {@link LogException.Effect#NONE} if the record was certainly not
   *     appended, otherwise with {@link LogException.Effect#UNKNOWN}
   */
  long append(String stream, String record, Instant deadline);

  /**
   * Reads records at and after the offset {@code from}, oldest first.
   *
   * @param from offset of the first requested record; records past retention are skipped
   * @param waitUntil time until which to wait for a record if there is none yet
   * @throws LogException if the log cannot be read
   */
  LogPage read(String stream, long from, Instant waitUntil);
}
