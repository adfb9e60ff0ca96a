package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.kumquatplank.platform.wire.BackendHead;
import org.kumquatplank.platform.wire.BackendProtocol;

/**
 * A connection to a backend server, with one request on it at a time.
 *
 * <p>After anything odd it is closed: bytes that nobody asked for belong to no request. Confined to
 * the traffic thread.
 */
final class BackendConnection {
  private static final int MOST_LINE_BYTES = 4_096;
  private static final int MOST_HEAD_BYTES = 32_768;
  private static final int MOST_CHUNK_BYTES = 16_384;

  private final BackendPool pool;
  private final BackendPool.Key key;
  private final Decoder decoder = new Decoder();
  private Channel channel;
  private BackendCall call;
  private BackendHead head;
  private boolean skipping;
  private boolean sawOddBytes;
  private boolean reset;
  private boolean written;
  private long idleDeadline;

  BackendConnection(BackendPool pool, BackendPool.Key key) {
    this.pool = pool;
    this.key = key;
  }

  /** Tells whether bytes are left behind an answer. */
  private static final class Decoder extends HttpResponseDecoder {
    Decoder() {
      super(
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MOST_LINE_BYTES)
              .setMaxHeaderSize(MOST_HEAD_BYTES)
              .setMaxChunkSize(MOST_CHUNK_BYTES));
    }

    boolean hasMore() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("both a length and chunks");
    }
  }

  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new IdleWatch(), decoder, new HttpRequestEncoder(), new Answers());
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

  /** Sends a request; its answer goes to the call. */
  void send(BackendCall newCall, Object request) {
    call = newCall;
    head = null;
    skipping = false;
    written = false;
    ChannelFuture future = channel.writeAndFlush(request);
    future.addListener(f -> written = f.isSuccess());
  }

  /** Drops the call: the backend server stops working on it once the connection is closed. */
  void abandon() {
    call = null;
    channel.close();
  }

  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  private void broken(String reason) {
    BackendCall open = call;
    call = null;
    channel.close();
    if (open != null) {
      open.broken(reason);
    }
  }

  /** Closes a resting connection on which bytes arrive. */
  private final class IdleWatch extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (call == null) {
        ReferenceCountUtil.release(message);
        ctx.close();
      } else {
        ctx.fireChannelRead(message);
      }
    }
  }

  /** Takes the answers. */
  private final class Answers extends ChannelInboundHandlerAdapter {
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
        broken("an answer that can't be read");
        return;
      }
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        skipping = true;
        return;
      }
      BackendHead newHead = BackendProtocol.decode(response);
      if (newHead.id().isPresent() && !newHead.id().get().equals(call.requestId())) {
        // A late second answer to an earlier request; the right one may follow.
        skipping = true;
        sawOddBytes = true;
        return;
      }
      head = newHead;
      call.onHead(newHead);
    }

    private void onContent(HttpContent content) {
      if (content.decoderResult().isFailure()) {
        broken("a body that can't be read");
        return;
      }
      boolean last = content instanceof LastHttpContent;
      if (skipping) {
        skipping = !last;
        return;
      }
      if (head == null) {
        broken("a body without a head");
        return;
      }
      ByteBuf bytes = content.content();
      if (bytes.isReadable()) {
        call.onBody(bytes);
      }
      if (last && call != null) {
        end();
      }
    }

    private void end() {
      if (reset) {
        broken("reset");
        return;
      }
      BackendCall ended = call;
      call = null;
      boolean clean = written && !sawOddBytes && !decoder.hasMore();
      if (clean && head.keepsConnection() && channel.isActive()) {
        channel.config().setAutoRead(true);
        pool.release(BackendConnection.this, head.keepMillis());
      } else {
        channel.close();
      }
      ended.onEnd();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      reset = true;
      if (!(cause instanceof IOException)) {
        EdgeLog.problem("backend_connection", cause);
      }
      broken("broke: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      pool.closed(BackendConnection.this);
      broken("closed before the answer was whole");
    }
  }
}
