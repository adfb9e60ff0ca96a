package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the HTTP messages that callers receive. */
final class CallerResponses {
  private CallerResponses() {}

  /** Returns the response to a caller that waits before it sends its body. */
  static FullHttpResponse continueResponse() {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
  }

  /** Returns a response with its whole body. */
  static FullHttpResponse whole(int status, HttpHeaders headers, ByteBuf content) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()));
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status),
        content,
        headers,
        DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
  }

  /** Returns the head of a response whose body follows in chunks. */
  static HttpResponse streamHead(int status, HttpHeaders headers) {
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    return new DefaultHttpResponse(
        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
  }
}
