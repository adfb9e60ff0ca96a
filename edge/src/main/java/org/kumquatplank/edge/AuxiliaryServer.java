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

/** Small questions that are answered at once: the directory, readiness and metrics. */
final class AuxiliaryServer extends ChannelInitializer<SocketChannel> {
  private static final int MOST_REQUEST_BYTES = 16_384;
  private static final int IDLE_SECONDS = 30;

  private final Function<String, Answer> answers;

  AuxiliaryServer(Function<String, Answer> answers) {
    this.answers = answers;
  }

  /** An answer: status, media type and body. */
  record Answer(int status, String type, String body) {
    static Answer of(int status, String type, String body) {
      return new Answer(status, type, body);
    }

    static Answer status(int status) {
      return new Answer(status, "text/plain", "");
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
        .addLast(new HttpObjectAggregator(MOST_REQUEST_BYTES))
        .addLast(new Questions());
  }

  /** Answers questions. */
  private final class Questions extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      Answer answer = answers.apply(request.uri());
      ByteBuf body = Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8);
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), body);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.type());
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      boolean keep = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keep);
      ctx.writeAndFlush(response).addListener(keep ? f -> {} : ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
