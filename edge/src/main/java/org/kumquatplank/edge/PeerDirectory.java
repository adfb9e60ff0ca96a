package org.kumquatplank.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.kumquatplank.link.proto.EdgeDatagram;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.wire.SettingsDecoder;

/**
 * The other instances, by the digests that they send.
 *
 * <p>Digests are datagrams: a lost one is replaced by the next. An instance that is not heard of
 * for a while is left out. Confined to the control thread.
 */
final class PeerDirectory {
  /** Instances that one digest is sent to: with more of them each is told less often. */
  private static final int FAN_OUT = 6;

  /** Instances of the own failure domain among them: they use the same backend servers first. */
  private static final int NEAR_FAN_OUT = 4;

  /** An instance that five digests in a row did not come from is taken to be gone. */
  private static final long SILENT_MICROS = 1_400_000;

  /** New instances are rare: each of these rounds names some that the sender knows. */
  private static final int KNOWN_PEERS_ROUNDS = 4;

  private static final int CONTACT_ROUNDS = 2;

  /** What one round of relays may put on the link of this instance, bytes: 0.3 s at 10 Mbit/s. */
  private static final int RELAY_ROUND_BYTES = 400_000;

  /** An address at which nobody answers is asked for this long. */
  private static final long CONTACT_MICROS = 20_000_000;

  /** Larger than any digest, and small enough for a buffer of its own for each datagram. */
  private static final int MOST_DATAGRAM_BYTES = 32_000;

  private final String self;
  private final String zone;
  private final String region;
  private final long startedMillis;
  private final Random random = new Random();
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<InetSocketAddress, Long> contacts = new HashMap<>();
  private final Listener listener;
  private Channel channel;
  private int round;

  PeerDirectory(String self, String zone, String region, long startedMillis, Listener listener) {
    this.self = self;
    this.zone = zone;
    this.region = region;
    this.startedMillis = startedMillis;
    this.listener = listener;
  }

  /** Takes what other instances tell. */
  interface Listener {
    /** Another instance says how it is and what it has under way. */
    void onDigest(EdgeDigest digest);

    /** Another instance says what it read from the store. */
    void onRelay(TopicRelay relay);
  }

  /** Another instance, and when it was last heard of. */
  record Peer(EdgeDigest digest, InetSocketAddress address, long heardAt) {}

  void bind(EventLoop loop, InetSocketAddress address) {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_DATAGRAM_BYTES))
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
    EdgeDatagram datagram;
    try (ByteBufInputStream in = new ByteBufInputStream(packet.content())) {
      datagram = EdgeDatagram.parseFrom(in);
    } catch (IOException e) {
      EdgeLog.problem("datagram", e);
      return;
    }
    switch (datagram.getContentCase()) {
      case DIGEST -> receive(datagram.getDigest(), packet);
      case RELAY -> listener.onRelay(datagram.getRelay());
      case CONTENT_NOT_SET -> EdgeLog.event("empty_datagram").log();
    }
  }

  private void receive(EdgeDigest digest, DatagramPacket packet) {
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
      InetSocketAddress other = SettingsDecoder.address(address);
      boolean isKnown = peers.values().stream().anyMatch(p -> p.address().equals(other));
      if (!isKnown && !other.equals(channel.localAddress())) {
        contact(other, now);
      }
    }
    listener.onDigest(digest);
  }

  /** Sends the digest of this instance to some others. */
  void send(EdgeDigest.Builder digest, long now) {
    digest.setInstance(self).setStartedMillis(startedMillis);
    List<Peer> live = live(now);
    Collections.shuffle(live, random);
    round++;
    if (round % KNOWN_PEERS_ROUNDS == 0) {
      for (Peer peer : live.subList(0, Math.min(FAN_OUT, live.size()))) {
        digest.addKnownPeers(
            peer.address().getAddress().getHostAddress() + ":" + peer.address().getPort());
      }
    }
    byte[] bytes = EdgeDatagram.newBuilder().setDigest(digest).build().toByteArray();
    if (bytes.length > MOST_DATAGRAM_BYTES) {
      EdgeLog.event("digest_too_large").addKeyValue("bytes", bytes.length).log();
      return;
    }
    toldNow(live).forEach(peer -> write(bytes, peer.address()));
    contacts.values().removeIf(until -> until < now);
    if (round % CONTACT_ROUNDS == 0) {
      List<InetSocketAddress> asked = new ArrayList<>(contacts.keySet());
      Collections.shuffle(asked, random);
      asked.subList(0, Math.min(FAN_OUT, asked.size())).forEach(a -> write(bytes, a));
    }
    channel.flush();
  }

  /** Returns some near instances and some of the others. */
  private List<Peer> toldNow(List<Peer> shuffled) {
    List<Peer> near =
        shuffled.stream()
            .filter(p -> p.digest().getZone().equals(zone))
            .sorted(Comparator.comparing(p -> p.digest().getInstance()))
            .toList();
    List<Peer> far = shuffled.stream().filter(p -> !p.digest().getZone().equals(zone)).toList();
    List<Peer> told = new ArrayList<>(inTurn(near, NEAR_FAN_OUT, round));
    told.addAll(far.subList(0, Math.min(FAN_OUT - told.size(), far.size())));
    return told;
  }

  /** Returns some of a list so that each is among them once in as few rounds as can be. */
  static <T> List<T> inTurn(List<T> all, int most, int round) {
    if (all.size() <= most) {
      return all;
    }
    List<T> some = new ArrayList<>();
    for (int i = 0; i < most; i++) {
      some.add(all.get(Math.floorMod(round * most + i, all.size())));
    }
    return some;
  }

  /** Returns how large a relay may be. */
  int mostRelayBytes(long now) {
    int receivers = Math.max(1, inRegion(now).size());
    return Math.min(MOST_DATAGRAM_BYTES, RELAY_ROUND_BYTES / receivers);
  }

  private List<Peer> inRegion(long now) {
    return live(now).stream().filter(p -> p.digest().getRegion().equals(region)).toList();
  }

  /** Tells all instances of the region what the store holds. */
  void send(TopicRelay relay, long now) {
    byte[] bytes = EdgeDatagram.newBuilder().setRelay(relay).build().toByteArray();
    inRegion(now).forEach(peer -> write(bytes, peer.address()));
    channel.flush();
  }

  private void write(byte[] bytes, InetSocketAddress address) {
    channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
  }

  /** Returns the instances that were heard of lately. */
  List<Peer> live(long now) {
    long near = peers.values().stream().filter(p -> p.digest().getZone().equals(zone)).count();
    long nearSilent = SILENT_MICROS * Math.max(1, Math.ceilDiv(near, NEAR_FAN_OUT));
    long farSilent = SILENT_MICROS * Math.max(1, peers.size() / (FAN_OUT - NEAR_FAN_OUT));
    long silent = peers.size() <= FAN_OUT ? SILENT_MICROS : farSilent;
    peers.values().removeIf(p -> now - p.heardAt() > 10 * silent);
    List<Peer> live = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean isNear = peer.digest().getZone().equals(zone);
      if (now - peer.heardAt() < (isNear ? Math.min(silent, nearSilent) : silent)) {
        live.add(peer);
      }
    }
    return live;
  }
}
