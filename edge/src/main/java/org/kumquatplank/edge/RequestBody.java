package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** The body of a request while it arrives; it takes memory as bytes arrive. Not thread-safe. */
final class RequestBody {
  /** A body of this length or less is allocated at once, bytes. */
  private static final int FIRST_BYTES = 65_536;

  private static final int UNDECLARED_FIRST_BYTES = 1_024;

  private final long declaredBytes;
  private final int maxBytes;
  private byte[] bytes = new byte[0];
  private int size;

  /**
   * Creates an empty body.
   *
   * @param declaredBytes length that the head declares, or -1
   */
  RequestBody(long declaredBytes, int maxBytes) {
    this.declaredBytes = declaredBytes;
    this.maxBytes = maxBytes;
  }

  /** Adds bytes; returns whether the body is still within its limit. */
  boolean add(ByteBuf added) {
    int newSize = size + added.readableBytes();
    if (newSize > maxBytes) {
      return false;
    }
    if (newSize > bytes.length) {
      bytes = Arrays.copyOf(bytes, capacityFor(newSize));
    }
    added.readBytes(bytes, size, newSize - size);
    size = newSize;
    return true;
  }

  private int capacityFor(int newSize) {
    int first = declaredBytes < 0 ? UNDECLARED_FIRST_BYTES : FIRST_BYTES;
    long most = declaredBytes >= newSize ? declaredBytes : maxBytes;
    return (int) Math.min(most, Math.max(first, Math.max(2L * bytes.length, newSize)));
  }

  /** Returns the memory that the body takes, bytes. */
  int capacity() {
    return bytes.length;
  }

  byte[] take() {
    return bytes.length == size ? bytes : Arrays.copyOf(bytes, size);
  }
}
