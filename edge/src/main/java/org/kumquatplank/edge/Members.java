package org.kumquatplank.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.kumquatplank.link.proto.EdgeDigest;

/**
 * The other instances, by the digests that they send.
 *
 * <p>Digests are datagrams: a lost one is replaced by the next. An instance that is not heard of
 * for a while is left out. Confined to the control thread.
 */
final class Members {
  /** Instances that one digest is sent to: with more of them each is told less often. */
  private static final int FAN_OUT = 6;

  /** An instance that five digests in a row did not come from is taken to be gone. */
  private static final long SILENT_MICROS = 1_400_000;

  /** An address at which nobody answers is asked for this long. */
  private static final long CONTACT_MICROS = 20_000_000;

  private static final int MOST_DATAGRAM_BYTES = 60_000;

  private final String self;
  private final long startedMillis;
  private final Random random = new Random();
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<InetSocketAddress, Long> contacts = new HashMap<>();
  private final Consumer<EdgeDigest> listener;
  private Channel channel;
  private int round;

  Members(String self, long startedMillis, Consumer<EdgeDigest> listener) {
    this.self = self;
    this.startedMillis = startedMillis;
    this.listener = listener;
  }

  /** Another instance, and when it was last heard of. */
  record Peer(EdgeDigest digest, InetSocketAddress address, long heardAt) {}

  void bind(EventLoop loop, InetSocketAddress address) {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    receive(packet);
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    EdgeLog.problem("members", cause);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Notes an address at which an instance may be. */
  void contact(InetSocketAddress address, long now) {
    contacts.putIfAbsent(address, now + CONTACT_MICROS);
  }

  private void receive(DatagramPacket packet) {
    EdgeDigest digest;
    try (ByteBufInputStream in = new ByteBufInputStream(packet.content())) {
      digest = EdgeDigest.parseFrom(in);
    } catch (IOException e) {
      EdgeLog.problem("digest", e);
      return;
    }
    if (digest.getInstance().equals(self)) {
      return;
    }
    long now = Clock.micros();
    Peer known = peers.get(digest.getInstance());
    if (known != null && known.digest().getStartedMillis() > digest.getStartedMillis()) {
      return;
    }
    peers.put(digest.getInstance(), new Peer(digest, packet.sender(), now));
    contacts.remove(packet.sender());
    for (String address : digest.getKnownPeersList()) {
      int colon = address.lastIndexOf(':');
      InetSocketAddress other =
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
      boolean isKnown = peers.values().stream().anyMatch(p -> p.address().equals(other));
      if (!isKnown && !other.equals(channel.localAddress())) {
        contact(other, now);
      }
    }
    listener.accept(digest);
  }

  /** Sends the digest of this instance to some others. */
  void send(EdgeDigest.Builder digest, long now) {
    digest.setInstance(self).setStartedMillis(startedMillis);
    List<Peer> live = live(now);
    Collections.shuffle(live, random);
    for (Peer peer : live.subList(0, Math.min(FAN_OUT, live.size()))) {
      digest.addKnownPeers(
          peer.address().getAddress().getHostAddress() + ":" + peer.address().getPort());
    }
    byte[] bytes = digest.build().toByteArray();
    if (bytes.length > MOST_DATAGRAM_BYTES) {
      EdgeLog.event("digest_too_large").addKeyValue("bytes", bytes.length).log();
      return;
    }
    for (Peer peer : live.subList(0, Math.min(FAN_OUT, live.size()))) {
      write(bytes, peer.address());
    }
    contacts.values().removeIf(until -> until < now);
    round++;
    if (round % 2 == 0) {
      List<InetSocketAddress> asked = new ArrayList<>(contacts.keySet());
      Collections.shuffle(asked, random);
      asked.subList(0, Math.min(FAN_OUT, asked.size())).forEach(a -> write(bytes, a));
    }
    channel.flush();
  }

  private void write(byte[] bytes, InetSocketAddress address) {
    channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
  }

  /** Returns the instances that were heard of lately. */
  List<Peer> live(long now) {
    long silent = SILENT_MICROS * Math.max(1, peers.size() / FAN_OUT);
    peers.values().removeIf(p -> now - p.heardAt() > 10 * silent);
    List<Peer> live = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (now - peer.heardAt() < silent) {
        live.add(peer);
      }
    }
    return live;
  }
}
