package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Writes the response of one exchange to its caller. */
interface ResponseWriter {
  /** Sends a complete response. */
  void respond(CallerResponse response);

  /** Sends the head of a stream. */
  void beginStream(int status, HttpHeaders headers);

  /** Sends one or more complete events of a stream. */
  void sendEvents(ByteBuf events);

  /** Ends a stream as complete. */
  void endStream();

  /** Closes the connection, so that the caller sees that the response is incomplete. */
  void abort();

  /** Returns whether the connection of the caller is open. */
  boolean isOpen();

  /** Returns whether the outbound buffer has room for more bytes. */
  boolean isWritable();
}
