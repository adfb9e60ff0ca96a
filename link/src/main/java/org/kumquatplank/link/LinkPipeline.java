package org.kumquatplank.link;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.Supplier;
import org.kumquatplank.link.proto.Frame;

/** Sets up a channel for length-prefixed protobuf frames and adds the handler of the frames. */
final class LinkPipeline extends ChannelInitializer<SocketChannel> {
  private static final int MAX_FRAME_BYTES = 8 << 20;
  private static final int LENGTH_BYTES = 4;

  private final Supplier<ChannelHandler> frameHandler;

  LinkPipeline(Supplier<ChannelHandler> frameHandler) {
    this.frameHandler = frameHandler;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
        .addLast(new ProtobufEncoder())
        .addLast(frameHandler.get());
  }
}
