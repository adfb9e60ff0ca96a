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
  private int pendingBytes;
  private int lineStart;
  private int scannedBytes;
  private boolean inEvent;
  private Optional<String> pendingId = Optional.empty();
  private Optional<String> lastId = Optional.empty();
  private int eventCount;

  /** Adds bytes, and returns the events that are now complete, if any. */
  Optional<ByteBuf> add(ByteBuf bytes) {
    append(bytes);
    int end = 0;
    for (; scannedBytes < pendingBytes; scannedBytes++) {
      if (pending[scannedBytes] == '\n') {
        if (endLine()) {
          end = scannedBytes + 1;
        }
        lineStart = scannedBytes + 1;
      }
    }
    return end == 0 ? Optional.empty() : Optional.of(take(end));
  }

  private void append(ByteBuf bytes) {
    int addedBytes = bytes.readableBytes();
    if (pending.length - pendingBytes < addedBytes) {
      pending = Arrays.copyOf(pending, Math.max(pendingBytes + addedBytes, 2 * pendingBytes));
    }
    bytes.readBytes(pending, pendingBytes, addedBytes);
    pendingBytes += addedBytes;
  }

  /** Handles the line that ends at the scanned position; returns whether it ends an event. */
  private boolean endLine() {
    boolean blank =
        scannedBytes == lineStart || (scannedBytes == lineStart + 1 && pending[lineStart] == '\r');
    if (!blank) {
      inEvent |= pending[lineStart] != ':';
      if (startsWithId()) {
        int from = lineStart + ID_FIELD.length;
        pendingId =
            Optional.of(
                new String(pending, from, scannedBytes - from, StandardCharsets.UTF_8).trim());
      }
      return false;
    }
    if (inEvent) {
      eventCount++;
      lastId = pendingId.or(() -> lastId);
      inEvent = false;
      pendingId = Optional.empty();
    }
    return true;
  }

  private boolean startsWithId() {
    int idEnd = lineStart + ID_FIELD.length;
    return idEnd <= scannedBytes
        && Arrays.equals(pending, lineStart, idEnd, ID_FIELD, 0, ID_FIELD.length);
  }

  private ByteBuf take(int end) {
    ByteBuf taken = Unpooled.wrappedBuffer(pending, 0, end);
    pending = Arrays.copyOfRange(pending, end, pendingBytes);
    pendingBytes = pending.length;
    lineStart -= end;
    scannedBytes = pendingBytes;
    return taken;
  }

  /** Discards an incomplete event whose backend server will not finish it. */
  void dropPartial() {
    pending = new byte[0];
    pendingBytes = 0;
    lineStart = 0;
    scannedBytes = 0;
    inEvent = false;
    pendingId = Optional.empty();
  }

  boolean hasPartial() {
    return pendingBytes > 0;
  }

  int partialBytes() {
    return pendingBytes;
  }

  boolean isTooLong() {
    return pendingBytes > MAX_EVENT_BYTES;
  }

  /** Returns the id of the last complete event that has one. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns whether the stream can go on elsewhere: its last id can be sent as a header value. */
  boolean isResumable() {
    return lastId.isEmpty() || lastId.get().chars().allMatch(c -> c >= ' ' && c <= '~');
  }

  /** Returns the number of complete events, without comments. */
  int eventCount() {
    return eventCount;
  }
}
