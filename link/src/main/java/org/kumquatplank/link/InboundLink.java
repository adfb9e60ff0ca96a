package org.kumquatplank.link;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.kumquatplank.link.proto.Challenge;
import org.kumquatplank.link.proto.Frame;
import org.kumquatplank.link.proto.Hello;
import org.kumquatplank.link.proto.Welcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The accepting side of one link: checks who connects, then answers its requests. */
final class AcceptedLink extends SimpleChannelInboundHandler<Frame> {
  static final String CONNECTING = "connect";
  static final String ACCEPTING = "accept";
  private static final Logger LOG = LoggerFactory.getLogger(AcceptedLink.class);

  private final String self;
  private final LinkSecret secret;
  private final PeerHandler handler;
  private final Executor executor;
  private final byte[] nonce;
  private Optional<String> peer = Optional.empty();

  AcceptedLink(String self, LinkSecret secret, PeerHandler handler, Executor executor) {
    this.self = self;
    this.secret = secret;
    this.handler = handler;
    this.executor = executor;
    this.nonce = secret.nonce();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Challenge challenge = Challenge.newBuilder().setNonce(ByteString.copyFrom(nonce)).build();
    context.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (peer.isEmpty()) {
      greet(context, frame);
      return;
    }
    String sender = peer.get();
    executor.execute(() -> answer(context, sender, frame));
  }

  private void greet(ChannelHandlerContext context, Frame frame) {
    Hello hello = frame.getHello();
    byte[] proof = hello.getMac().toByteArray();
    if (!frame.hasHello() || !secret.verify(CONNECTING, hello.getInstance(), nonce, proof)) {
      LOG.warn(
          "refused a peer that does not know the secret: {}", context.channel().remoteAddress());
      context.close();
      return;
    }
    peer = Optional.of(hello.getInstance());
    byte[] mac = secret.prove(ACCEPTING, self, hello.getNonce().toByteArray());
    Welcome welcome =
        Welcome.newBuilder().setInstance(self).setMac(ByteString.copyFrom(mac)).build();
    context.writeAndFlush(Frame.newBuilder().setWelcome(welcome).build());
  }

  private void answer(ChannelHandlerContext context, String sender, Frame frame) {
    try {
      Frame.Builder reply = handler.handle(sender, frame);
      if (frame.getRequestId() != 0) {
        context.writeAndFlush(reply.setRequestId(frame.getRequestId()).build());
      }
    } catch (RuntimeException e) {
      LOG.warn("a request of peer {} failed", sender, e);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("link ended: {}", cause.getMessage());
    context.close();
  }
}
