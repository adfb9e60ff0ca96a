package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Function;

/**
 * HTTP server for the small requests that are served from memory: directory, readiness and metrics.
 */
final class AuxiliaryServer extends ChannelInitializer<SocketChannel> {
  private static final int MAX_REQUEST_BYTES = 16_384;
  private static final int MAX_HEAD_BYTES = 8_192;
  private static final int IDLE_SECONDS = 30;

  private final Set<Channel> connections;
  private final int maxConnections;
  private final Function<String, Response> handler;

  /**
   * Creates a server.
   *
   * @param connections open connections of all such servers, oldest first
   * @param maxConnections number of connections above which the oldest is closed
   */
  AuxiliaryServer(
      Set<Channel> connections, int maxConnections, Function<String, Response> handler) {
    this.connections = connections;
    this.maxConnections = maxConnections;
    this.handler = handler;
  }

  /** A response: status, media type and body. */
  record Response(int status, String type, String body) {
    static Response of(int status, String type, String body) {
      return new Response(status, type, body);
    }

    static Response status(int status) {
      return new Response(status, "text/plain", "");
    }
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    while (connections.size() >= maxConnections) {
      Channel oldest = connections.iterator().next();
      connections.remove(oldest);
      oldest.close();
    }
    connections.add(channel);
    channel.closeFuture().addListener(f -> connections.remove(channel));
    RequestHandler requests = new RequestHandler();
    RequestDecoder decoder = new RequestDecoder(MAX_HEAD_BYTES, () -> !requests.answering);
    requests.decoder = decoder;
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(0, 0, IDLE_SECONDS) {
              @Override
              protected void channelIdle(ChannelHandlerContext ctx, IdleStateEvent event) {
                ctx.close();
              }
            })
        .addLast(new ReadGuard(requests))
        .addLast(decoder)
        .addLast(new HttpResponseEncoder())
        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
        .addLast(requests);
  }

  /** Stops reading while requests wait for the answer to an earlier one to be written. */
  private static final class ReadGuard extends PausableReads {
    private final RequestHandler requests;

    ReadGuard(RequestHandler requests) {
      this.requests = requests;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ctx.fireChannelRead(message);
      boolean full = requests.decoder.undecodedBytes() > MAX_REQUEST_BYTES;
      ctx.channel().config().setAutoRead(!requests.answering || !full);
    }
  }

  /** Passes the URI of each request to the handler and sends its response. */
  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private RequestDecoder decoder;
    private boolean answering;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      Response response = handler.apply(request.uri());
      ByteBuf body = Unpooled.copiedBuffer(response.body(), StandardCharsets.UTF_8);
      FullHttpResponse httpResponse =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), body);
      httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.type());
      httpResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      // The encoder does not know that the response to this method has no body.
      boolean isHead = request.method().equals(HttpMethod.HEAD);
      HttpUtil.setKeepAlive(httpResponse, keepAlive && !isHead);
      answering = true;
      ctx.writeAndFlush(httpResponse)
          .addListener(keepAlive && !isHead ? f -> decodeNext(ctx) : ChannelFutureListener.CLOSE);
    }

    /** Goes on after the requests of other connections. */
    private void decodeNext(ChannelHandlerContext ctx) {
      ctx.executor()
          .execute(
              () -> {
                answering = false;
                if (ctx.channel().isActive()) {
                  ctx.channel().config().setAutoRead(true);
                  ctx.pipeline().context(ReadGuard.class).fireChannelRead(Unpooled.EMPTY_BUFFER);
                }
              });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
