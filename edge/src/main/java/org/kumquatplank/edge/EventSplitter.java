package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>Only complete events are forwarded to a caller, since a backend server may fail within one.
 * Not thread-safe.
 */
final class EventSplitter {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private byte[] pending = new byte[0];
  private Optional<String> lastId = Optional.empty();
  private int eventCount;

  /** Adds bytes, and returns the events that are now complete, if any. */
  Optional<ByteBuf> add(ByteBuf bytes) {
    int pendingBytes = pending.length;
    byte[] all = Arrays.copyOf(pending, pendingBytes + bytes.readableBytes());
    bytes.readBytes(all, pendingBytes, bytes.readableBytes());
    int end = 0;
    int lineStart = 0;
    for (int i = 0; i < all.length; i++) {
      if (all[i] == '\n') {
        if (isBlank(all, lineStart, i)) {
          if (lineStart > end) {
            eventCount++;
          }
          end = i + 1;
        }
        lineStart = i + 1;
      }
    }
    pending = end == all.length ? new byte[0] : Arrays.copyOfRange(all, end, all.length);
    if (end == 0) {
      return Optional.empty();
    }
    noteLastId(all, end);
    return Optional.of(Unpooled.wrappedBuffer(all, 0, end));
  }

  private static boolean isBlank(byte[] all, int from, int to) {
    return from == to || (to == from + 1 && all[from] == '\r');
  }

  private void noteLastId(byte[] all, int end) {
    int lineStart = 0;
    for (int i = 0; i < end; i++) {
      if (all[i] == '\n') {
        if (startsWithId(all, lineStart, i)) {
          int from = lineStart + ID_FIELD.length;
          lastId = Optional.of(new String(all, from, i - from, StandardCharsets.UTF_8).trim());
        }
        lineStart = i + 1;
      }
    }
  }

  private static boolean startsWithId(byte[] all, int from, int to) {
    return to - from >= ID_FIELD.length
        && Arrays.equals(all, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
  }

  /** Discards an incomplete event whose backend server will not finish it. */
  void dropPartial() {
    pending = new byte[0];
  }

  boolean hasPartial() {
    return pending.length > 0;
  }

  boolean isTooLong() {
    return pending.length > MAX_EVENT_BYTES;
  }

  /** Returns the id of the last complete event that has one. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns the number of complete events. */
  int eventCount() {
    return eventCount;
  }
}
