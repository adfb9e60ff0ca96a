package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;

/** The caller's end of an exchange. */
interface Caller {
  /** Sends a whole answer of this router. */
  void answer(FullHttpResponse response);

  /** Sends a whole answer of a backend server. */
  void answer(int status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of a stream. */
  void beginStream(int status, HttpHeaders headers);

  /** Sends a part of a stream. */
  void sendPart(ByteBuf part);

  /** Ends a stream as complete. */
  void endStream();

  /** Breaks off an answer so that it can't look complete. */
  void abort();

  /** Returns whether more can be sent without piling up here. */
  boolean isWritable();
}
