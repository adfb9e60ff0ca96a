package org.kumquatplank.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * Limit on the memory that unfinished responses take in total.
 *
 * <p>Confined to the traffic thread.
 */
final class BufferLimit {
  /** A third of the heap of an instance. */
  private static final long MAX_BYTES = 16 * 1024 * 1024;

  private final Map<Exchange, Integer> bytesByExchange = new HashMap<>();
  private long totalBytes;

  /** Records what an exchange holds now, and drops the largest response if all hold too much. */
  void record(Exchange exchange, int bytes) {
    Integer before =
        bytes == 0 ? bytesByExchange.remove(exchange) : bytesByExchange.put(exchange, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    if (totalBytes > MAX_BYTES) {
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
