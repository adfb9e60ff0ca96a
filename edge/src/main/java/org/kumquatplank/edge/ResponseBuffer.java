package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/** Buffers a response that is not streamed until it is complete. Not thread-safe. */
final class ResponseBuffer {
  private static final int MAX_BYTES = 8 * 1024 * 1024;

  /** Limit on the size of a block, which grows with the response. */
  private static final int MAX_BLOCK_BYTES = 16_384;

  private final List<ByteBuf> blocks = new ArrayList<>();
  private int size;

  /** Adds bytes. They share blocks, so that a body in tiny chunks takes no more memory. */
  void add(ByteBuf bytes) {
    if (!blocks.isEmpty()) {
      ByteBuf last = blocks.get(blocks.size() - 1);
      int fitting = Math.min(last.writableBytes(), bytes.readableBytes());
      last.writeBytes(bytes, fitting);
      size += fitting;
    }
    int rest = bytes.readableBytes();
    if (rest > 0) {
      int capacity = Math.max(rest, Math.min(MAX_BLOCK_BYTES, size));
      blocks.add(Unpooled.buffer(capacity, capacity).writeBytes(bytes));
      size += rest;
    }
  }

  int size() {
    return size;
  }

  boolean isTooLarge() {
    return size > MAX_BYTES;
  }

  void clear() {
    blocks.clear();
    size = 0;
  }

  /** Returns all bytes and empties the buffer. */
  ByteBuf take() {
    ByteBuf all = Unpooled.wrappedBuffer(blocks.toArray(new ByteBuf[0]));
    clear();
    return all;
  }
}
