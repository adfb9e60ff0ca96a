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

/**
 * The accepting side of a link between two instances.
 *
 * <p>Authenticates the connecting peer by its MAC over the nonce of the challenge, then handles its
 * requests on the executor. Frames before the authentication are not handled.
 */
final class InboundLink extends SimpleChannelInboundHandler<Frame> {
  static final String CONNECTING_ROLE = "connect";
  static final String ACCEPTING_ROLE = "accept";
  private static final Logger LOG = LoggerFactory.getLogger(InboundLink.class);

  private final String self;
  private final SharedSecret secret;
  private final PeerHandler handler;
  private final Executor executor;
  private final byte[] nonce;
  private Optional<String> peer = Optional.empty();

  InboundLink(String self, SharedSecret secret, PeerHandler handler, Executor executor) {
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
      authenticate(context, frame);
      return;
    }
    String sender = peer.get();
    executor.execute(() -> handleRequest(context, sender, frame));
  }

  private void authenticate(ChannelHandlerContext context, Frame frame) {
    Hello hello = frame.getHello();
    byte[] peerMac = hello.getMac().toByteArray();
    if (!frame.hasHello() || !secret.verify(CONNECTING_ROLE, hello.getInstance(), nonce, peerMac)) {
      LOG.warn("rejected a peer that failed authentication: {}", context.channel().remoteAddress());
      context.close();
      return;
    }
    peer = Optional.of(hello.getInstance());
    byte[] mac = secret.computeMac(ACCEPTING_ROLE, self, hello.getNonce().toByteArray());
    Welcome welcome =
        Welcome.newBuilder().setInstance(self).setMac(ByteString.copyFrom(mac)).build();
    context.writeAndFlush(Frame.newBuilder().setWelcome(welcome).build());
  }

  private void handleRequest(ChannelHandlerContext context, String sender, Frame frame) {
    try {
      Frame.Builder reply = handler.handle(sender, frame);
      if (frame.getRequestId() != 0) {
        context.writeAndFlush(reply.setRequestId(frame.getRequestId()).build());
      }
    } catch (RuntimeException e) {
      LOG.warn("handling a request from peer {} failed", sender, e);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("link closed after an error: {}", cause.getMessage());
    context.close();
  }
}
