package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/** Buffers a response that is not streamed until it is complete. Not thread-safe. */
final class ResponseBuffer {
  private static final int MAX_BYTES = 8 * 1024 * 1024;

  private final List<byte[]> parts = new ArrayList<>();
  private int size;

  void add(ByteBuf bytes) {
    byte[] copy = new byte[bytes.readableBytes()];
    bytes.readBytes(copy);
    parts.add(copy);
    size += copy.length;
  }

  boolean isTooLarge() {
    return size > MAX_BYTES;
  }

  void clear() {
    parts.clear();
    size = 0;
  }

  /** Returns all bytes and empties the buffer. */
  ByteBuf take() {
    ByteBuf all = Unpooled.wrappedBuffer(parts.toArray(new byte[0][]));
    clear();
    return all;
  }
}
