package org.kumquatplank.edge;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Stops reads from a channel while its automatic reads are off.
 *
 * <p>A decoder that has made no message of what it read asks for more, also then.
 */
class PausableReads extends ChannelDuplexHandler {
  @Override
  public void read(ChannelHandlerContext ctx) {
    if (ctx.channel().config().isAutoRead()) {
      ctx.read();
    }
  }
}
