package org.kumquatplank.link;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.kumquatplank.link.proto.Frame;
import org.kumquatplank.link.proto.Hello;

/**
 * The connecting side of a link between two instances.
 *
 * <p>Authenticates itself, verifies the identity of the accepting peer, then sends requests and
 * matches the replies by their request id. Thread-safe.
 */
final class OutboundLink extends SimpleChannelInboundHandler<Frame> {
  private final String self;
  private final PeerAddress address;
  private final SharedSecret secret;
  private final byte[] nonce;
  private final AtomicLong nextRequestId = new AtomicLong(1);
  private final ConcurrentHashMap<Long, CompletableFuture<Frame>> pendingReplies =
      new ConcurrentHashMap<>();
  private volatile Channel readyChannel;

  OutboundLink(String self, PeerAddress address, SharedSecret secret) {
    this.self = self;
    this.address = address;
    this.secret = secret;
    this.nonce = secret.nonce();
  }

  boolean isReady() {
    Channel channel = readyChannel;
    return channel != null && channel.isActive();
  }

  CompletableFuture<Frame> request(Frame.Builder body) {
    CompletableFuture<Frame> reply = new CompletableFuture<>();
    Channel channel = readyChannel;
    if (channel == null || !channel.isActive()) {
      reply.completeExceptionally(new LinkException("no open link to peer " + address.instance()));
      return reply;
    }
    long id = nextRequestId.getAndIncrement();
    pendingReplies.put(id, reply);
    reply.whenComplete((frame, error) -> pendingReplies.remove(id));
    channel.writeAndFlush(body.setRequestId(id).build());
    return reply;
  }

  void send(Frame.Builder body) {
    Channel channel = readyChannel;
    if (channel != null && channel.isWritable()) {
      channel.writeAndFlush(body.build());
    }
  }

  void close() {
    Channel channel = readyChannel;
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    switch (frame.getBodyCase()) {
      case CHALLENGE -> sendHello(context, frame.getChallenge().getNonce().toByteArray());
      case WELCOME -> handleWelcome(context, frame);
      default -> complete(frame);
    }
  }

  private void sendHello(ChannelHandlerContext context, byte[] challenge) {
    byte[] mac = secret.computeMac(InboundLink.CONNECTING_ROLE, self, challenge);
    Hello hello =
        Hello.newBuilder()
            .setInstance(self)
            .setNonce(ByteString.copyFrom(nonce))
            .setMac(ByteString.copyFrom(mac))
            .build();
    context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
  }

  private void handleWelcome(ChannelHandlerContext context, Frame frame) {
    byte[] peerMac = frame.getWelcome().getMac().toByteArray();
    String peer = frame.getWelcome().getInstance();
    boolean verified = secret.verify(InboundLink.ACCEPTING_ROLE, peer, nonce, peerMac);
    if (verified && peer.equals(address.instance())) {
      readyChannel = context.channel();
    } else {
      context.close();
    }
  }

  private void complete(Frame frame) {
    CompletableFuture<Frame> reply = pendingReplies.remove(frame.getRequestId());
    if (reply != null) {
      reply.complete(frame);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    LinkException connectionClosed =
        new LinkException("lost the connection to peer " + address.instance());
    pendingReplies.values().forEach(reply -> reply.completeExceptionally(connectionClosed));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
