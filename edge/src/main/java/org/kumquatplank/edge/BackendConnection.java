package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.kumquatplank.platform.wire.BackendProtocol;
import org.kumquatplank.platform.wire.BackendResponseHead;
import org.kumquatplank.platform.wire.ResponseDecoder;

/**
 * A connection to a backend server that carries one request at a time.
 *
 * <p>It is closed after any unexpected data, since such bytes can't be assigned to a request.
 * Confined to the traffic thread.
 */
final class BackendConnection {
  private static final int MAX_LINE_BYTES = 4_096;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /**
   * Limit on the bytes of a call that reach no caller yet; twice the largest body, which leaves
   * room for its framing and for a late response to another request.
   */
  private static final long MAX_WITHHELD_BYTES = 16 * 1024 * 1024;

  /** The same limit on chunks, as tiny ones cost more time than their bytes. */
  private static final int MAX_WITHHELD_CHUNKS = 65_536;

  /**
   * Limit on the bytes of a larger request body that are written before the backend server takes
   * them, so that a write completes only if the backend server reads.
   */
  private static final int UPLOAD_BUFFER_BYTES = 128 * 1024;

  private static final String CLOSED_EARLY = "closed before the answer was whole";

  /** Limit on the interim and late responses before the expected one. */
  private static final int MAX_SKIPPED_RESPONSES = 32;

  private final BackendPool pool;
  private final BackendPool.Key key;
  private final ResponseDecoder decoder =
      ResponseDecoder.create(
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_LINE_BYTES)
              .setMaxHeaderSize(MAX_HEADER_BYTES)
              .setMaxChunkSize(MAX_CHUNK_BYTES));
  private Channel channel;
  private BackendCall call;
  private BackendResponseHead head;
  private long withheldBytes;
  private int withheldChunks;
  private int skippedResponses;
  private boolean skippingResponse;
  private boolean sawForeignResponse;
  private boolean carriedRequest;
  private boolean reset;
  private boolean requestWritten;
  private boolean serverEnded;
  private boolean endAwaitsWrite;
  private long idleDeadline;

  BackendConnection(BackendPool pool, BackendPool.Key key) {
    this.pool = pool;
    this.key = key;
  }

  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new DataGuard(), decoder, new HttpRequestEncoder(), new ResponseHandler());
  }

  BackendPool.Key key() {
    return key;
  }

  Channel channel() {
    return channel;
  }

  void setChannel(Channel newChannel) {
    channel = newChannel;
  }

  long idleDeadline() {
    return idleDeadline;
  }

  void setIdleDeadline(long deadline) {
    idleDeadline = deadline;
  }

  /** Sends a request; its response is delivered to the call. */
  void send(BackendCall newCall, FullHttpRequest request) {
    call = newCall;
    head = null;
    withheldBytes = 0;
    withheldChunks = 0;
    skippedResponses = 0;
    skippingResponse = false;
    requestWritten = false;
    if (request.content().readableBytes() > UPLOAD_BUFFER_BYTES) {
      channel.config().setOption(ChannelOption.SO_SNDBUF, UPLOAD_BUFFER_BYTES);
    }
    ChannelFuture future = channel.writeAndFlush(request);
    future.addListener(f -> onWritten(newCall, f.isSuccess()));
  }

  /** A failed write closes the channel, and so ends the call. */
  private void onWritten(BackendCall writtenCall, boolean success) {
    if (call == writtenCall && success) {
      requestWritten = true;
      if (endAwaitsWrite) {
        complete();
      }
    }
  }

  /** Cancels the call: the backend server stops working on it when the connection closes. */
  void cancel() {
    call = null;
    channel.close();
  }

  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  /** Ends a call whose connection was closed or reset, maybe because the backend server crashed. */
  private void closeLost(String reason) {
    if (call != null) {
      call.onConnectionLost(false);
    }
    closeBroken(reason);
  }

  private void closeBroken(String reason) {
    BackendCall open = call;
    call = null;
    channel.close();
    if (open != null) {
      open.onBroken(reason);
    }
  }

  /** Ends the call with its response, and keeps the connection if it can be used again. */
  private void complete() {
    BackendCall ended = call;
    call = null;
    carriedRequest = true;
    boolean clean = requestWritten && !sawForeignResponse && !decoder.hasUnreadBytes();
    if (clean && head.connectionReusable() && channel.isActive()) {
      channel.config().setAutoRead(true);
      pool.release(this, head.keepAliveMillis());
    } else {
      channel.close();
    }
    if (!head.bodyDelimited()) {
      // The end of the connection ends the body, also where the backend server crashed.
      ended.onConnectionLost(head.isSuccess());
    }
    ended.onEnd();
  }

  /**
   * Closes a connection on which bytes arrive while it is idle, or too many during a call, and
   * records that the backend server has ended its direction before the decoder sees that.
   */
  private final class DataGuard extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (call == null) {
        ReferenceCountUtil.release(message);
        ctx.close();
        return;
      }
      withheldBytes += ((ByteBuf) message).readableBytes();
      ctx.fireChannelRead(message);
      if (call != null && withheldBytes > MAX_WITHHELD_BYTES) {
        closeBroken("bytes without end");
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      serverEnded |= event instanceof ChannelInputShutdownEvent;
      ctx.fireUserEventTriggered(event);
    }
  }

  /** Handles the decoded responses. */
  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (call == null) {
          ctx.close();
          return;
        }
        if (message instanceof HttpResponse response) {
          onHead(response);
        }
        if (call != null && message instanceof HttpContent content) {
          onContent(content);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void onHead(HttpResponse response) {
      if (response.decoderResult().isFailure()) {
        closeBroken("an answer that can't be read");
        return;
      }
      if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
        closeBroken("a switch of protocols");
        return;
      }
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        skipResponse();
        return;
      }
      BackendResponseHead newHead = BackendProtocol.decode(response);
      if (carriedRequest && newHead.attemptId().isEmpty()) {
        // It may be a repetition of an earlier response, so it says nothing about this request.
        closeBroken("an answer without an id on a kept connection");
        return;
      }
      if (newHead.attemptId().isPresent() && !newHead.attemptId().get().equals(call.requestId())) {
        // A late duplicate response to an earlier request; the expected one may follow.
        sawForeignResponse = true;
        skipResponse();
        return;
      }
      head = newHead;
      call.onHead(newHead);
    }

    private void skipResponse() {
      skippingResponse = true;
      skippedResponses++;
      if (skippedResponses > MAX_SKIPPED_RESPONSES) {
        closeBroken("too many interim or late responses");
      }
    }

    private void onContent(HttpContent content) {
      if (content.decoderResult().isFailure()) {
        closeBroken("a body that can't be read");
        return;
      }
      withheldChunks++;
      if (withheldChunks > MAX_WITHHELD_CHUNKS) {
        closeBroken("chunks without end");
        return;
      }
      boolean last = content instanceof LastHttpContent;
      if (skippingResponse) {
        skippingResponse = !last;
        return;
      }
      if (head == null) {
        closeBroken("a body without a head");
        return;
      }
      ByteBuf bytes = content.content();
      if (bytes.isReadable() && call.onBody(bytes)) {
        withheldBytes = 0;
        withheldChunks = 0;
      }
      if (last && call != null) {
        end();
      }
    }

    private void end() {
      if (reset) {
        closeBroken("reset");
        return;
      }
      if (!head.bodyDelimited() && !serverEnded && !channel.isActive()) {
        // A failed write has closed the connection, so the body may be cut off.
        closeLost(CLOSED_EARLY);
        return;
      }
      // A backend server that will not read the rest of the request resets the connection, maybe
      // after it has ended its direction: only a complete write shows that the body is whole.
      endAwaitsWrite = !head.bodyDelimited() && serverEnded && !requestWritten;
      if (!endAwaitsWrite) {
        complete();
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof ChannelInputShutdownEvent && !endAwaitsWrite) {
        closeLost(CLOSED_EARLY);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      reset = true;
      if (!(cause instanceof IOException)) {
        EdgeLog.problem("backend_connection", cause);
      }
      closeLost("broke: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      pool.onClosed(BackendConnection.this);
      closeLost(CLOSED_EARLY);
    }
  }
}
