package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import org.kumquatplank.platform.wire.CallerProtocol.OwnAnswer;

/**
 * A connection of a caller: one request after the other, each answered before the next is begun.
 *
 * <p>Confined to the traffic thread.
 */
final class CallerConnection implements Caller {
  private static final int MOST_QUEUED_MESSAGES = 64;
  private static final int FIRST_BODY_BYTES = 1_024;
  private static final long MICROS_PER_MILLI = 1_000;

  private final Entry entry;
  private final CallerLimits limits;
  private final Deque<Object> queued = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest request;
  private byte[] body = new byte[0];
  private int bodyBytes;
  private Optional<Exchange> exchange = Optional.empty();
  private boolean answering;
  private boolean closing;
  private boolean closeAfterAnswer;
  private long activeAt = Clock.micros();
  private long requestBeganAt;
  private boolean requestBegun;

  CallerConnection(Entry entry, CallerLimits limits) {
    this.entry = entry;
    this.limits = limits;
  }

  /** Refuses what could be read in two ways. */
  private static final class Decoder extends HttpRequestDecoder {
    Decoder(CallerLimits limits) {
      super(
          new HttpDecoderConfig()
              .setMaxInitialLineLength(limits.headerBytes())
              .setMaxHeaderSize(limits.headerBytes()));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("both a length and chunks");
    }
  }

  void addTo(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(
        new ByteWatch(), new Decoder(limits), new HttpResponseEncoder(), new Requests());
  }

  boolean isBusy() {
    return answering || requestBegun;
  }

  /** Closes the connection once it has rested or dawdled for too long. */
  void sweep(long now) {
    if (answering || closing) {
      return;
    }
    if (requestBegun && request == null) {
      if (now - requestBeganAt > limits.headerMillis() * MICROS_PER_MILLI) {
        refuse(OwnAnswer.SLOW_HEAD, "the head took too long");
      }
    } else if (now - activeAt > limits.idleMillis() * MICROS_PER_MILLI) {
      if (requestBegun) {
        refuse(OwnAnswer.SLOW_HEAD, "the body took too long");
      } else {
        closing = true;
        channel.close();
      }
    }
  }

  /** Closes the connection if no request is on it. */
  void closeIfIdle() {
    if (!isBusy()) {
      closing = true;
      channel.close();
    }
  }

  private void refuse(OwnAnswer answer, String reason) {
    closeAfterAnswer = true;
    answering = true;
    answer(CallerProtocol.answer(answer, Optional.empty(), OptionalDouble.empty(), reason));
  }

  // ---- requests

  /** Notes when bytes arrive, before they make a message. */
  private final class ByteWatch extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      activeAt = Clock.micros();
      if (!requestBegun && !answering) {
        requestBegun = true;
        requestBeganAt = activeAt;
      }
      ctx.fireChannelRead(message);
    }
  }

  /** Takes the decoded requests. */
  private final class Requests extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (closing) {
        ReferenceCountUtil.release(message);
      } else if (answering || !queued.isEmpty()) {
        queued.addLast(message);
        if (queued.size() >= MOST_QUEUED_MESSAGES) {
          channel.config().setAutoRead(false);
        }
      } else {
        take(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      closing = true;
      queued.forEach(ReferenceCountUtil::release);
      queued.clear();
      exchange.ifPresent(Exchange::onCallerGone);
      entry.closed(CallerConnection.this);
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

  private void take(Object message) {
    try {
      if (message instanceof HttpRequest newRequest) {
        takeHead(newRequest);
      }
      if (message instanceof HttpContent content && !answering && !closing) {
        takeBody(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void takeHead(HttpRequest newRequest) {
    Throwable failure = newRequest.decoderResult().cause();
    if (failure != null) {
      boolean large =
          failure instanceof TooLongHttpHeaderException
              || failure instanceof TooLongHttpLineException;
      refuse(large ? OwnAnswer.LARGE_HEAD : OwnAnswer.MALFORMED, "the head can't be read");
      return;
    }
    if (HttpUtil.getContentLength(newRequest, 0L) > limits.bodyBytes()) {
      refuse(OwnAnswer.LARGE_BODY, "the body is too large");
      return;
    }
    request = newRequest;
    requestBegun = true;
    bodyBytes = 0;
    body = new byte[0];
    if (HttpUtil.is100ContinueExpected(newRequest)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void takeBody(HttpContent content) {
    if (content.decoderResult().isFailure() || request == null) {
      refuse(OwnAnswer.MALFORMED, "the body can't be read");
      return;
    }
    int more = content.content().readableBytes();
    if (bodyBytes + more > limits.bodyBytes()) {
      refuse(OwnAnswer.LARGE_BODY, "the body is too large");
      return;
    }
    if (more > 0) {
      ensureRoom(more);
      content.content().readBytes(body, bodyBytes, more);
      bodyBytes += more;
    }
    if (content instanceof LastHttpContent) {
      begin();
    }
  }

  private void ensureRoom(int more) {
    if (body.length - bodyBytes >= more) {
      return;
    }
    long stated = HttpUtil.getContentLength(request, -1L);
    int wanted =
        stated >= bodyBytes + more
            ? (int) stated
            : Math.max(FIRST_BODY_BYTES, Math.max(2 * body.length, bodyBytes + more));
    body = Arrays.copyOf(body, wanted);
  }

  private void begin() {
    HttpRequest whole = request;
    byte[] bytes = body.length == bodyBytes ? body : Arrays.copyOf(body, bodyBytes);
    request = null;
    body = new byte[0];
    requestBegun = false;
    answering = true;
    closeAfterAnswer = !HttpUtil.isKeepAlive(whole);
    exchange = Optional.empty();
    exchange = entry.begin(this, whole, bytes);
  }

  // ---- answers

  @Override
  public void answer(FullHttpResponse response) {
    setConnection(response.headers());
    channel.writeAndFlush(response).addListener(closing());
    ended();
  }

  @Override
  public void answer(int status, HttpHeaders headers, ByteBuf content) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()));
    setConnection(headers);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            content,
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
    channel.writeAndFlush(response).addListener(closing());
    ended();
  }

  @Override
  public void beginStream(int status, HttpHeaders headers) {
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnection(headers);
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
    channel.write(head);
  }

  @Override
  public void sendPart(ByteBuf part) {
    channel.writeAndFlush(new DefaultHttpContent(part));
  }

  @Override
  public void endStream() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(closing());
    ended();
  }

  @Override
  public void abort() {
    closing = true;
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void setConnection(HttpHeaders headers) {
    closeAfterAnswer |= entry.isLeaving();
    if (closeAfterAnswer) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private ChannelFutureListener closing() {
    if (!closeAfterAnswer) {
      return future -> {};
    }
    closing = true;
    return ChannelFutureListener.CLOSE;
  }

  private void ended() {
    exchange = Optional.empty();
    answering = false;
    requestBegun = false;
    request = null;
    activeAt = Clock.micros();
    if (closing) {
      return;
    }
    channel.eventLoop().execute(this::takeQueued);
  }

  private void takeQueued() {
    while (!answering && !closing && !queued.isEmpty()) {
      take(queued.pollFirst());
    }
    if (queued.size() < MOST_QUEUED_MESSAGES) {
      channel.config().setAutoRead(true);
    }
  }
}
