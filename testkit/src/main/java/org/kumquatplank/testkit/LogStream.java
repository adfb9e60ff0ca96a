package org.kumquatplank.testkit;

import java.util.ArrayList;
import java.util.List;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;

/** One stream of the log of {@link PlatformServer}. Thread-safe. */
final class LogStream {
  private static final int MAX_PAGE_RECORDS = 500;

  private final List<String> records = new ArrayList<>();
  private long firstOffset;

  synchronized long append(String record) {
    records.add(record);
    notifyAll();
    return firstOffset + records.size() - 1;
  }

  /**
   * Returns the records from an offset, or from the first retained one if that is later. If there
   * are none yet, waits for an append for at most the given time.
   */
  synchronized LogPage read(long from, long waitMillis) throws InterruptedException {
    long waitUntilNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (from >= endOffset() && System.nanoTime() < waitUntilNanos) {
      long remainingMillis = (waitUntilNanos - System.nanoTime()) / 1_000_000;
      wait(Math.max(1, remainingMillis));
    }
    long start = Math.max(from, firstOffset);
    List<LogRecord> page = new ArrayList<>();
    for (long i = start; i < endOffset() && page.size() < MAX_PAGE_RECORDS; i++) {
      page.add(new LogRecord(i, records.get((int) (i - firstOffset))));
    }
    return new LogPage(firstOffset, start + page.size(), endOffset(), page);
  }

  /** Deletes all but the newest records, as retention does. */
  synchronized void retainNewest(int count) {
    int deleted = Math.max(0, records.size() - count);
    records.subList(0, deleted).clear();
    firstOffset += deleted;
  }

  private long endOffset() {
    return firstOffset + records.size();
  }
}
