package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.catalog.CallerLimits;
import org.kumquatplank.platform.wire.CallerProtocol;
import org.kumquatplank.platform.wire.CallerProtocol.LocalResponse;

/**
 * A connection of a caller. Pipelined requests are handled one after the other, in order.
 *
 * <p>Confined to the traffic thread.
 */
final class CallerConnection implements ResponseWriter {
  private static final double NO_ROOM_RETRY_SECONDS = 1;
  private static final long MICROS_PER_MILLI = 1_000;

  /** Bytes of requests sent ahead for which reading stops, where memory is not short. */
  private static final int MAX_SENT_AHEAD_BYTES = 256 * 1024;

  private final AdmissionController admission;
  private final CallerLimits limits;
  private final CallerMemory memory;
  private final RequestDecoder decoder;
  private final HeldBytes held;
  private Channel channel;
  private HttpRequest request;
  private Optional<RequestBody> body = Optional.empty();
  private boolean paused;
  private Optional<Exchange> exchange = Optional.empty();
  private boolean responsePending;
  private boolean closing;
  private boolean closeAfterResponse;
  private long lastActivityAt = Clock.micros();
  private long requestStartedAt;
  private boolean requestStarted;
  private UnwrittenResponse unwritten;

  CallerConnection(AdmissionController admission, CallerMemory memory, CallerLimits limits) {
    this.admission = admission;
    this.memory = memory;
    this.limits = limits;
    this.held = new HeldBytes(memory);
    this.decoder =
        new RequestDecoder(limits.maxHeaderBytes(), () -> !isBusyWithResponse() && !closing);
  }

  void addTo(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    unwritten = new UnwrittenResponse(channel);
    pipeline.addLast(
        new ActivityTracker(), decoder, new HttpResponseEncoder(), new RequestHandler());
  }

  boolean isBusy() {
    return requestStarted || isBusyWithResponse();
  }

  private boolean isBusyWithResponse() {
    return responsePending || hasUnwrittenResponse();
  }

  /** Returns the memory that the connection takes, bytes. */
  long heldBytes() {
    return held.total();
  }

  long lastActivityAt() {
    return lastActivityAt;
  }

  /** Returns whether the connection waits for memory before it reads on. */
  boolean isPaused() {
    return paused;
  }

  /** Returns whether no request on the connection is being served. */
  boolean isEvictable() {
    return !responsePending && (!closing || hasUnwrittenResponse());
  }

  /** Closes the connection, which frees what it holds. */
  void evict() {
    closing = true;
    held.release();
    body = Optional.empty();
    channel.close();
  }

  void resumeReading() {
    paused = false;
    lastActivityAt = Clock.micros();
    requestStartedAt = lastActivityAt;
    updateReading();
  }

  /** Updates the account of what the connection holds. */
  private void account() {
    if (!closing) {
      held.update(body.map(RequestBody::capacity).orElse(0) + decoder.undecodedBytes());
    }
  }

  private void updateReading() {
    int maxSentAhead = memory.isPressed() ? limits.maxHeaderBytes() : MAX_SENT_AHEAD_BYTES;
    boolean sentAhead = isBusyWithResponse() && decoder.undecodedBytes() > maxSentAhead;
    channel.config().setAutoRead(!paused && !sentAhead);
  }

  /** Returns whether bytes of a response wait for the caller to read. */
  boolean hasUnwrittenResponse() {
    return unwritten.exists();
  }

  /** Closes the connection if it is idle for too long or sends a request too slowly. */
  void sweep(long now) {
    if (responsePending || paused || (closing && !hasUnwrittenResponse())) {
      return;
    }
    if (unwritten.hasProgressed()) {
      // A caller that reads a response slowly is not idle.
      lastActivityAt = now;
    }
    if (requestStarted && request == null) {
      if (now - requestStartedAt > limits.headerTimeoutMillis() * MICROS_PER_MILLI) {
        reject(LocalResponse.SLOW_HEAD, "the head took too long");
      }
    } else if (now - lastActivityAt > limits.idleTimeoutMillis() * MICROS_PER_MILLI) {
      if (requestStarted) {
        reject(LocalResponse.SLOW_HEAD, "the body took too long");
      } else {
        abort();
      }
    }
  }

  /** Closes the connection if no request is on it. */
  void closeIfIdle() {
    if (!isBusy()) {
      abort();
    }
  }

  private void reject(LocalResponse answer, String reason) {
    closeAfterResponse = true;
    responsePending = true;
    OptionalDouble retryAfter =
        answer == LocalResponse.NOT_RUN
            ? OptionalDouble.of(NO_ROOM_RETRY_SECONDS)
            : OptionalDouble.empty();
    respond(CallerProtocol.localResponse(answer, Optional.empty(), retryAfter, reason));
  }

  /** Records when bytes arrive, before they are decoded. */
  private final class ActivityTracker extends PausableReads {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      lastActivityAt = Clock.micros();
      if (!requestStarted && !isBusyWithResponse()) {
        requestStarted = true;
        requestStartedAt = lastActivityAt;
      }
      if (request == null && !isBusyWithResponse()) {
        held.addOpenHead(((ByteBuf) message).readableBytes());
      }
      ctx.fireChannelRead(message);
      account();
      if (!closing && !responsePending && !paused) {
        long incomplete = body.map(b -> (long) b.capacity()).orElse(held.headBytes());
        paused = memory.mustWait(CallerConnection.this, incomplete);
      }
      updateReading();
    }
  }

  /** Handles the decoded requests. */
  private final class RequestHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (closing || responsePending) {
        ReferenceCountUtil.release(message);
      } else {
        handleMessage(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      closing = true;
      held.release();
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
    Optional<LocalResponse> fault = RequestDecoder.fault(newRequest);
    if (fault.isPresent()) {
      reject(fault.get(), "the head can't be read");
      return;
    }
    if (HttpUtil.getContentLength(newRequest, 0L) > limits.maxBodyBytes()) {
      reject(LocalResponse.LARGE_BODY, "the body is too large");
      return;
    }
    request = newRequest;
    requestStarted = true;
    held.setHead(newRequest.headers());
    body =
        Optional.of(
            new RequestBody(HttpUtil.getContentLength(newRequest, -1L), limits.maxBodyBytes()));
    if (HttpUtil.is100ContinueExpected(newRequest)) {
      channel.writeAndFlush(CallerResponses.continueResponse());
    }
  }

  private void handleBody(HttpContent content) {
    if (content.decoderResult().isFailure() || request == null) {
      reject(LocalResponse.MALFORMED, "the body can't be read");
      return;
    }
    if (content.content().isReadable() && !body.orElseThrow().add(content.content())) {
      reject(LocalResponse.LARGE_BODY, "the body is too large");
      return;
    }
    account();
    if (content instanceof LastHttpContent && !closing) {
      begin();
    }
  }

  private void begin() {
    HttpRequest completeRequest = request;
    byte[] bytes = body.orElseThrow().take();
    request = null;
    held.setRequest(bytes.length);
    body = Optional.empty();
    requestStarted = false;
    paused = false;
    memory.onRequestEnded(this);
    if (!memory.hasRoom()) {
      reject(LocalResponse.NOT_RUN, "memory is short");
      return;
    }
    responsePending = true;
    closeAfterResponse = !HttpUtil.isKeepAlive(completeRequest);
    exchange = Optional.empty();
    exchange = admission.begin(this, completeRequest, bytes);
  }

  /** Runs work on the traffic thread after some microseconds. */
  void runAfter(long micros, Runnable work) {
    channel.eventLoop().schedule(work, micros, TimeUnit.MICROSECONDS);
  }

  /** Sets the exchange of a request that was held before it began. */
  void setExchange(Optional<Exchange> begun) {
    exchange = begun;
  }

  @Override
  public void respond(CallerResponse response) {
    respond(response.message());
  }

  /** Sends a response to a request for which there is no exchange. */
  void respond(FullHttpResponse response) {
    setConnectionHeader(response.headers());
    writeLast(response);
  }

  @Override
  public void beginStream(int status, HttpHeaders headers) {
    setConnectionHeader(headers);
    channel.write(CallerResponses.streamHead(status, headers));
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
    held.setResponse(message instanceof FullHttpResponse r ? r.content().readableBytes() : 0);
    closing |= closeAfterResponse;
    ChannelFuture write = channel.writeAndFlush(message);
    unwritten.begin(write);
    if (closeAfterResponse) {
      write.addListener(ChannelFutureListener.CLOSE);
    }
    onResponseEnded();
    write.addListener(
        f -> channel.eventLoop().execute(f.isSuccess() ? this::continueDecoding : this::abort));
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

  private void onResponseEnded() {
    exchange = Optional.empty();
    responsePending = false;
    requestStarted = false;
    request = null;
    body = Optional.empty();
    held.endRequest();
    lastActivityAt = Clock.micros();
    account();
    memory.onRequestEnded(this);
  }

  /** Decodes what the caller has sent ahead, once the response before it is written. */
  private void continueDecoding() {
    held.setResponse(0);
    if (closing || responsePending || !channel.isActive()) {
      return;
    }
    if (decoder.undecodedBytes() > 0) {
      requestStarted = true;
      requestStartedAt = Clock.micros();
      held.addOpenHead(decoder.undecodedBytes());
      channel.pipeline().context(ActivityTracker.class).fireChannelRead(Unpooled.EMPTY_BUFFER);
    }
    account();
    updateReading();
  }
}
