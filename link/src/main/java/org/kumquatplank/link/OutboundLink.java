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

/** The connecting side of one link: proves itself, checks the other side, then sends requests. */
final class DialledLink extends SimpleChannelInboundHandler<Frame> {
  private final String self;
  private final PeerAddress address;
  private final LinkSecret secret;
  private final byte[] nonce;
  private final AtomicLong nextId = new AtomicLong(1);
  private final ConcurrentHashMap<Long, CompletableFuture<Frame>> waiting =
      new ConcurrentHashMap<>();
  private volatile Channel readyChannel;

  DialledLink(String self, PeerAddress address, LinkSecret secret) {
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
      reply.completeExceptionally(new LinkException("no link to " + address.instance()));
      return reply;
    }
    long id = nextId.getAndIncrement();
    waiting.put(id, reply);
    reply.whenComplete((frame, error) -> waiting.remove(id));
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
      case CHALLENGE -> introduce(context, frame.getChallenge().getNonce().toByteArray());
      case WELCOME -> checkWelcome(context, frame);
      default -> complete(frame);
    }
  }

  private void introduce(ChannelHandlerContext context, byte[] challenge) {
    byte[] mac = secret.prove(AcceptedLink.CONNECTING, self, challenge);
    Hello hello =
        Hello.newBuilder()
            .setInstance(self)
            .setNonce(ByteString.copyFrom(nonce))
            .setMac(ByteString.copyFrom(mac))
            .build();
    context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
  }

  private void checkWelcome(ChannelHandlerContext context, Frame frame) {
    byte[] proof = frame.getWelcome().getMac().toByteArray();
    String peer = frame.getWelcome().getInstance();
    boolean proved = secret.verify(AcceptedLink.ACCEPTING, peer, nonce, proof);
    if (proved && peer.equals(address.instance())) {
      readyChannel = context.channel();
    } else {
      context.close();
    }
  }

  private void complete(Frame frame) {
    CompletableFuture<Frame> reply = waiting.remove(frame.getRequestId());
    if (reply != null) {
      reply.complete(frame);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    LinkException lost = new LinkException("link lost to " + address.instance());
    waiting.values().forEach(reply -> reply.completeExceptionally(lost));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
