package org.kumquatplank.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The bytes that a connection of a caller takes of the account, by what they are held for.
 *
 * <p>Confined to the traffic thread.
 */
final class HeldBytes {
  /** Memory that a header line takes in all its copies, bytes. */
  private static final int HEADER_LINE_BYTES = 256;

  /** Memory that a byte of an incomplete head may take, as a line may have four bytes. */
  private static final int OPEN_HEAD_BYTES_PER_BYTE = 40;

  private final CallerMemory memory;
  private long head;
  private long request;
  private long response;
  private long total;

  HeldBytes(CallerMemory memory) {
    this.memory = memory;
  }

  long total() {
    return total;
  }

  /** Records that bytes of a head have arrived that is not complete. */
  void addOpenHead(int bytes) {
    head += (long) OPEN_HEAD_BYTES_PER_BYTE * bytes;
  }

  /** Returns the memory that the head of the request takes, bytes. */
  long headBytes() {
    return head;
  }

  void setHead(HttpHeaders headers) {
    head = (long) HEADER_LINE_BYTES * headers.size();
  }

  /** Records that a request of this body is being served. */
  void setRequest(int bytes) {
    request = bytes;
  }

  void setResponse(int bytes) {
    response = bytes;
  }

  void endRequest() {
    head = 0;
    request = 0;
  }

  /** Updates the account; the other bytes are those of an incomplete body and undecoded ones. */
  void update(int others) {
    long now = head + request + response + others;
    long added = now - total;
    total = now;
    memory.add(added);
  }

  void release() {
    memory.add(-total);
    total = 0;
  }
}
