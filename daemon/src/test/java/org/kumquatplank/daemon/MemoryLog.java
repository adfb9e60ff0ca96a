package org.kumquatplank.daemon;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;

/** In-memory log without faults. Thread-safe. */
final class MemoryLog implements EventLog {
  private final Map<String, List<LogRecord>> records = new HashMap<>();
  private final Map<String, Long> ends = new HashMap<>();

  @Override
  public synchronized long append(String stream, String record, Instant deadline) {
    long offset = ends.merge(stream, 1L, Long::sum) - 1;
    records.computeIfAbsent(stream, s -> new ArrayList<>()).add(new LogRecord(offset, record));
    return offset;
  }

  @Override
  public synchronized LogPage read(String stream, long from, Instant waitUntil) {
    List<LogRecord> retained = records.getOrDefault(stream, List.of());
    long end = ends.getOrDefault(stream, 0L);
    long first = end - retained.size();
    List<LogRecord> page = retained.stream().filter(r -> r.offset() >= from).toList();
    return new LogPage(first, Math.max(from, end), end, page);
  }

  /** Deletes all records of a stream, as retention does. */
  synchronized void deleteAll(String stream) {
    records.put(stream, new ArrayList<>());
  }

  /** Returns the text of the retained records of a stream. */
  synchronized List<String> texts(String stream) {
    return records.getOrDefault(stream, List.of()).stream().map(LogRecord::text).toList();
  }
}
