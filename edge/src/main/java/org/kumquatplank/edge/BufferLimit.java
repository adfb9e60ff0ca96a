package org.kumquatplank.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * Limit on the memory that unfinished responses take in total.
 *
 * <p>Confined to the traffic thread.
 */
final class BufferLimit {
  private final CallerMemory memory;
  private final Map<Exchange, Integer> bytesByExchange = new HashMap<>();
  private long totalBytes;

  BufferLimit(CallerMemory memory) {
    this.memory = memory;
  }

  /** Records what an exchange holds now, and drops the largest response if all hold too much. */
  void record(Exchange exchange, int bytes) {
    Integer before =
        bytes == 0 ? bytesByExchange.remove(exchange) : bytesByExchange.put(exchange, bytes);
    long added = bytes - (before == null ? 0L : before);
    totalBytes += added;
    memory.add(added);
    if (totalBytes > memory.responseLimitBytes()) {
      largest().dropHeldResponses();
    }
  }

  private Exchange largest() {
    return bytesByExchange.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .orElseThrow()
        .getKey();
  }
}
