package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalDouble;
import org.kumquatplank.core.catalog.CallerLimits;
import org.kumquatplank.platform.wire.CallerProtocol;
import org.kumquatplank.platform.wire.CallerProtocol.LocalResponse;

/**
 * A connection of a caller. Pipelined requests are handled one after the other, in order.
 *
 * <p>Confined to the traffic thread.
 */
final class CallerConnection implements ResponseWriter {
  private static final int MAX_QUEUED_MESSAGES = 64;
  private static final int INITIAL_BODY_BYTES = 1_024;
  private static final long MICROS_PER_MILLI = 1_000;

  private final AdmissionController admission;
  private final CallerLimits limits;
  private final Deque<Object> queued = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest request;
  private byte[] body = new byte[0];
  private int bodyBytes;
  private Optional<Exchange> exchange = Optional.empty();
  private boolean responsePending;
  private boolean closing;
  private boolean closeAfterResponse;
  private long lastActivityAt = Clock.micros();
  private long requestStartedAt;
  private boolean requestStarted;
  private Optional<ChannelFuture> lastWrite = Optional.empty();
  private long unwrittenBytes;

  CallerConnection(AdmissionController admission, CallerLimits limits) {
    this.admission = admission;
    this.limits = limits;
  }

  /** Decoder that rejects requests with two body lengths, which allow request smuggling. */
  private static final class Decoder extends HttpRequestDecoder {
    Decoder(CallerLimits limits) {
      super(
          new HttpDecoderConfig()
              .setMaxInitialLineLength(limits.maxHeaderBytes())
              .setMaxHeaderSize(limits.maxHeaderBytes()));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException(
          "message has both Content-Length and Transfer-Encoding: chunked");
    }
  }

  void addTo(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(
        new ActivityTracker(),
        new Decoder(limits),
        new HttpResponseEncoder(),
        new RequestHandler());
  }

  boolean isBusy() {
    return responsePending || requestStarted || hasUnwrittenResponse();
  }

  /** Returns whether bytes of a response wait for the caller to read. */
  boolean hasUnwrittenResponse() {
    return lastWrite.isPresent() && !lastWrite.get().isDone();
  }

  /** Closes the connection if it is idle for too long or sends a request too slowly. */
  void sweep(long now) {
    if (responsePending || (closing && !hasUnwrittenResponse())) {
      return;
    }
    recordWriteProgress(now);
    if (requestStarted && request == null) {
      if (now - requestStartedAt > limits.headerTimeoutMillis() * MICROS_PER_MILLI) {
        reject(LocalResponse.SLOW_HEAD, "the head took too long");
      }
    } else if (now - lastActivityAt > limits.idleTimeoutMillis() * MICROS_PER_MILLI) {
      if (requestStarted) {
        reject(LocalResponse.SLOW_HEAD, "the body took too long");
      } else {
        closing = true;
        channel.close();
      }
    }
  }

  /** A caller that reads a response slowly is not idle. */
  private void recordWriteProgress(long now) {
    long bytes = hasUnwrittenResponse() ? channel.bytesBeforeWritable() : 0;
    if (bytes != unwrittenBytes) {
      unwrittenBytes = bytes;
      lastActivityAt = now;
    }
  }

  /** Closes the connection if no request is on it. */
  void closeIfIdle() {
    if (!isBusy()) {
      closing = true;
      channel.close();
    }
  }

  private void reject(LocalResponse answer, String reason) {
    closeAfterResponse = true;
    responsePending = true;
    respond(CallerProtocol.localResponse(answer, Optional.empty(), OptionalDouble.empty(), reason));
  }

  /** Records when bytes arrive, before they are decoded. */
  private final class ActivityTracker extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      lastActivityAt = Clock.micros();
      if (!requestStarted && !responsePending) {
        requestStarted = true;
        requestStartedAt = lastActivityAt;
      }
      ctx.fireChannelRead(message);
    }
  }

  /** Handles the decoded requests. */
  private final class RequestHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (closing) {
        ReferenceCountUtil.release(message);
      } else if (responsePending || !queued.isEmpty()) {
        queued.addLast(message);
        if (queued.size() >= MAX_QUEUED_MESSAGES) {
          channel.config().setAutoRead(false);
        }
      } else {
        handleMessage(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      closing = true;
      queued.forEach(ReferenceCountUtil::release);
      queued.clear();
      exchange.ifPresent(Exchange::onCallerDisconnected);
      admission.onClosed(CallerConnection.this);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      exchange.ifPresent(Exchange::onWritable);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        EdgeLog.problem("caller_connection", cause);
      }
      ctx.close();
    }
  }

  private void handleMessage(Object message) {
    try {
      if (message instanceof HttpRequest newRequest) {
        handleHead(newRequest);
      }
      if (message instanceof HttpContent content && !responsePending && !closing) {
        handleBody(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void handleHead(HttpRequest newRequest) {
    Throwable failure = newRequest.decoderResult().cause();
    if (failure != null) {
      boolean tooLarge =
          failure instanceof TooLongHttpHeaderException
              || failure instanceof TooLongHttpLineException;
      reject(
          tooLarge ? LocalResponse.LARGE_HEAD : LocalResponse.MALFORMED, "the head can't be read");
      return;
    }
    if (HttpUtil.getContentLength(newRequest, 0L) > limits.maxBodyBytes()) {
      reject(LocalResponse.LARGE_BODY, "the body is too large");
      return;
    }
    request = newRequest;
    requestStarted = true;
    bodyBytes = 0;
    body = new byte[0];
    if (HttpUtil.is100ContinueExpected(newRequest)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void handleBody(HttpContent content) {
    if (content.decoderResult().isFailure() || request == null) {
      reject(LocalResponse.MALFORMED, "the body can't be read");
      return;
    }
    int addedBytes = content.content().readableBytes();
    if (bodyBytes + addedBytes > limits.maxBodyBytes()) {
      reject(LocalResponse.LARGE_BODY, "the body is too large");
      return;
    }
    if (addedBytes > 0) {
      ensureBodyCapacity(addedBytes);
      content.content().readBytes(body, bodyBytes, addedBytes);
      bodyBytes += addedBytes;
    }
    if (content instanceof LastHttpContent) {
      begin();
    }
  }

  private void ensureBodyCapacity(int addedBytes) {
    if (body.length - bodyBytes >= addedBytes) {
      return;
    }
    long declaredBytes = HttpUtil.getContentLength(request, -1L);
    int newCapacity =
        declaredBytes >= bodyBytes + addedBytes
            ? (int) declaredBytes
            : Math.max(INITIAL_BODY_BYTES, Math.max(2 * body.length, bodyBytes + addedBytes));
    body = Arrays.copyOf(body, newCapacity);
  }

  private void begin() {
    HttpRequest completeRequest = request;
    byte[] bytes = body.length == bodyBytes ? body : Arrays.copyOf(body, bodyBytes);
    request = null;
    body = new byte[0];
    requestStarted = false;
    responsePending = true;
    closeAfterResponse = !HttpUtil.isKeepAlive(completeRequest);
    exchange = Optional.empty();
    exchange = admission.begin(this, completeRequest, bytes);
  }

  /** Sets the exchange of a request that was held before it began. */
  void setExchange(Optional<Exchange> begun) {
    exchange = begun;
  }

  @Override
  public void respond(FullHttpResponse response) {
    setConnectionHeader(response.headers());
    writeLast(response);
  }

  @Override
  public void respond(int status, HttpHeaders headers, ByteBuf content) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()));
    setConnectionHeader(headers);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            content,
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
    writeLast(response);
  }

  @Override
  public void beginStream(int status, HttpHeaders headers) {
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(headers);
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
    channel.write(head);
  }

  @Override
  public void sendEvents(ByteBuf events) {
    channel.writeAndFlush(new DefaultHttpContent(events));
  }

  @Override
  public void endStream() {
    writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  private void writeLast(Object message) {
    lastWrite = Optional.of(channel.writeAndFlush(message).addListener(closeListener()));
    onResponseEnded();
  }

  @Override
  public void abort() {
    closing = true;
    channel.close();
  }

  @Override
  public boolean isOpen() {
    return channel.isActive();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void setConnectionHeader(HttpHeaders headers) {
    closeAfterResponse |= admission.isDraining();
    if (closeAfterResponse) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private ChannelFutureListener closeListener() {
    if (!closeAfterResponse) {
      return future -> {};
    }
    closing = true;
    return ChannelFutureListener.CLOSE;
  }

  private void onResponseEnded() {
    exchange = Optional.empty();
    responsePending = false;
    requestStarted = false;
    request = null;
    lastActivityAt = Clock.micros();
    if (closing) {
      return;
    }
    channel.eventLoop().execute(this::handleQueued);
  }

  private void handleQueued() {
    while (!responsePending && !closing && !queued.isEmpty()) {
      handleMessage(queued.pollFirst());
    }
    if (queued.size() < MAX_QUEUED_MESSAGES) {
      channel.config().setAutoRead(true);
    }
  }
}
