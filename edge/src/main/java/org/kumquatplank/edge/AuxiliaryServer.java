package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * HTTP server for the small requests that are served from memory: directory, readiness and metrics.
 */
final class AuxiliaryServer extends ChannelInitializer<SocketChannel> {
  private static final int MAX_REQUEST_BYTES = 16_384;
  private static final int IDLE_SECONDS = 30;

  private final Function<String, Response> handler;

  AuxiliaryServer(Function<String, Response> handler) {
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
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(0, 0, IDLE_SECONDS) {
              @Override
              protected void channelIdle(ChannelHandlerContext ctx, IdleStateEvent event) {
                ctx.close();
              }
            })
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
        .addLast(new RequestHandler());
  }

  /** Passes the URI of each request to the handler and sends its response. */
  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
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
      HttpUtil.setKeepAlive(httpResponse, keepAlive);
      ctx.writeAndFlush(httpResponse)
          .addListener(keepAlive ? f -> {} : ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
