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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.kumquatplank.link.proto.EdgeDatagram;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.wire.SettingsDecoder;
import org.kumquatplank.platform.wire.WireException;

/**
 * The peers of this instance, known by the digests that they send.
 *
 * <p>Digests are datagrams: a lost one is replaced by the next. A peer whose digests stop counts as
 * gone after a time-out. Confined to the control thread.
 */
final class PeerDirectory {
  /** Number of peers that one digest is sent to; with more peers, each receives fewer digests. */
  private static final int FAN_OUT = 6;

  /** Receivers in the same failure domain, since they prefer the same backend servers. */
  private static final int SAME_ZONE_FAN_OUT = 4;

  /** Time without a digest after which a peer counts as gone: five missed digests in a row. */
  private static final long PEER_TIMEOUT_MICROS = 1_400_000;

  /** Only every fourth digest names known peers, since new instances are rare. */
  private static final int KNOWN_PEERS_ROUND_INTERVAL = 4;

  private static final int PROBE_ROUND_INTERVAL = 2;

  /** Limit on the bytes of one round of relays to all peers: 0.3 s on a link of 10 Mbit/s. */
  private static final int MAX_RELAY_ROUND_BYTES = 400_000;

  /** How long an address without a response is probed. */
  private static final long PROBE_MICROS = 20_000_000;

  /** Larger than any digest, and small enough to allocate a buffer per datagram. */
  private static final int MAX_DATAGRAM_BYTES = 32_000;

  private final String self;
  private final String zone;
  private final String region;
  private final long startedMillis;
  private final Random random = new Random();
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<InetSocketAddress, Long> probeUntil = new HashMap<>();

  /** Readers that peers follow and this instance does not; they receive its next digest. */
  private final Set<InetSocketAddress> readersOfPeers = new HashSet<>();

  private String followedReader = "";
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

  /** Receives the messages of peers. */
  interface Listener {
    /** Handles the state and in-flight load of a peer. */
    void onDigest(EdgeDigest digest);

    /** Handles records that a peer at that address read from the store. */
    void onRelay(TopicRelay relay, InetSocketAddress sender);
  }

  /** A peer with its last digest and when that arrived, microseconds. */
  record Peer(EdgeDigest digest, InetSocketAddress address, long lastSeenAt) {}

  void bind(EventLoop loop, InetSocketAddress address) {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
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

  /** Adds an address to which digests are sent until an instance there responds. */
  void probe(InetSocketAddress address, long now) {
    probeUntil.putIfAbsent(address, now + PROBE_MICROS);
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
      case RELAY -> listener.onRelay(datagram.getRelay(), packet.sender());
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
    probeUntil.remove(packet.sender());
    digest
        .getKnownPeersList()
        .forEach(address -> parseAddress(address).ifPresent(a -> learn(a, now)));
    String reader = digest.getOperatorReaderAddress();
    boolean unfollowed = !reader.isEmpty() && !reader.equals(followedReader);
    if (unfollowed && digest.getRegion().equals(region)) {
      parseAddress(reader).ifPresent(readersOfPeers::add);
    }
    listener.onDigest(digest);
  }

  private void learn(InetSocketAddress address, long now) {
    boolean isKnown = peers.values().stream().anyMatch(p -> p.address().equals(address));
    if (!isKnown && !address.equals(channel.localAddress())) {
      probe(address, now);
    }
  }

  /** Returns the address in a digest; a malformed one must not hide the rest of the digest. */
  private static Optional<InetSocketAddress> parseAddress(String text) {
    try {
      return Optional.of(SettingsDecoder.address(text));
    } catch (WireException e) {
      EdgeLog.problem("peer_address", e);
      return Optional.empty();
    }
  }

  /** Sends the digest of this instance to some peers and probed addresses. */
  void send(EdgeDigest.Builder digest, long now) {
    digest.setInstance(self).setStartedMillis(startedMillis);
    followedReader = digest.getOperatorReaderAddress();
    List<Peer> live = live(now);
    Collections.shuffle(live, random);
    round++;
    if (round % KNOWN_PEERS_ROUND_INTERVAL == 0) {
      for (Peer peer : live.subList(0, Math.min(FAN_OUT, live.size()))) {
        digest.addKnownPeers(
            peer.address().getAddress().getHostAddress() + ":" + peer.address().getPort());
      }
    }
    byte[] bytes = EdgeDatagram.newBuilder().setDigest(digest).build().toByteArray();
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      EdgeLog.event("digest_too_large").addKeyValue("bytes", bytes.length).log();
      return;
    }
    chooseReceivers(live).forEach(peer -> write(bytes, peer.address()));
    // A reader sends its updates only to peers whose digests it has received.
    readersOfPeers.forEach(a -> write(bytes, a));
    readersOfPeers.clear();
    probeUntil.values().removeIf(until -> until < now);
    if (round % PROBE_ROUND_INTERVAL == 0) {
      List<InetSocketAddress> targets = new ArrayList<>(probeUntil.keySet());
      Collections.shuffle(targets, random);
      targets.subList(0, Math.min(FAN_OUT, targets.size())).forEach(a -> write(bytes, a));
    }
    channel.flush();
  }

  /** Returns the receivers of this round: some peers of the same zone and some of the others. */
  private List<Peer> chooseReceivers(List<Peer> shuffled) {
    List<Peer> sameZone =
        shuffled.stream()
            .filter(p -> p.digest().getZone().equals(zone))
            .sorted(Comparator.comparing(p -> p.digest().getInstance()))
            .toList();
    List<Peer> otherZone =
        shuffled.stream().filter(p -> !p.digest().getZone().equals(zone)).toList();
    List<Peer> receivers = new ArrayList<>(rotate(sameZone, SAME_ZONE_FAN_OUT, round));
    receivers.addAll(otherZone.subList(0, Math.min(FAN_OUT - receivers.size(), otherZone.size())));
    return receivers;
  }

  /** Returns the slice of a list for a round, so that all elements take turns over the rounds. */
  static <T> List<T> rotate(List<T> all, int maxCount, int round) {
    if (all.size() <= maxCount) {
      return all;
    }
    List<T> part = new ArrayList<>();
    for (int i = 0; i < maxCount; i++) {
      part.add(all.get(Math.floorMod(round * maxCount + i, all.size())));
    }
    return part;
  }

  /** Returns the size limit of a relay, bytes. */
  int maxRelayBytes(long now) {
    int receivers = Math.max(1, inRegion(now).size());
    return Math.min(MAX_DATAGRAM_BYTES, MAX_RELAY_ROUND_BYTES / receivers);
  }

  private List<Peer> inRegion(long now) {
    return live(now).stream().filter(p -> p.digest().getRegion().equals(region)).toList();
  }

  /** Sends records of the store to all peers of the region. */
  void send(TopicRelay relay, long now) {
    byte[] bytes = EdgeDatagram.newBuilder().setRelay(relay).build().toByteArray();
    inRegion(now).forEach(peer -> write(bytes, peer.address()));
    channel.flush();
  }

  private void write(byte[] bytes, InetSocketAddress address) {
    channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
  }

  /** Returns the peers whose last digest is within the time-out. */
  List<Peer> live(long now) {
    long sameZone = peers.values().stream().filter(p -> p.digest().getZone().equals(zone)).count();
    long sameZoneTimeout =
        PEER_TIMEOUT_MICROS * Math.max(1, Math.ceilDiv(sameZone, SAME_ZONE_FAN_OUT));
    long otherZoneTimeout =
        PEER_TIMEOUT_MICROS * Math.max(1, peers.size() / (FAN_OUT - SAME_ZONE_FAN_OUT));
    long timeout = peers.size() <= FAN_OUT ? PEER_TIMEOUT_MICROS : otherZoneTimeout;
    peers.values().removeIf(p -> now - p.lastSeenAt() > 10 * timeout);
    List<Peer> live = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean isSameZone = peer.digest().getZone().equals(zone);
      if (now - peer.lastSeenAt() < (isSameZone ? Math.min(timeout, sameZoneTimeout) : timeout)) {
        live.add(peer);
      }
    }
    return live;
  }
}
