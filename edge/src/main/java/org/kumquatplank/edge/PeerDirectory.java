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
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.kumquatplank.core.membership.LivenessReport;
import org.kumquatplank.core.membership.LivenessTable;
import org.kumquatplank.link.proto.CatalogOffer;
import org.kumquatplank.link.proto.EdgeDatagram;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.wire.SettingsDecoder;
import org.kumquatplank.platform.wire.WireException;

/**
 * The peers of this instance, known by the digests that they send.
 *
 * <p>Digests are datagrams: a lost one is replaced by the next. Which peers are live is decided by
 * {@link LivenessTable}. Confined to the control thread.
 */
final class PeerDirectory {
  /** Only every fourth digest names known peers, since new instances are rare. */
  private static final int KNOWN_PEERS_ROUND_INTERVAL = 4;

  /** Number of peers that such a digest names. */
  private static final int KNOWN_PEERS = 6;

  /** The same for a digest to a new peer, which may know few others. */
  private static final int KNOWN_PEERS_FOR_NEW = 32;

  private static final int PROBE_ROUND_INTERVAL = 2;

  /** Number of addresses that are probed in a round. */
  private static final int PROBES = 12;

  /** Number of new peers that receive a digest in a round besides the others. */
  private static final int REPLIES = 12;

  /** Limit on the bytes of one round of relays to all peers: 0.3 s on a link of 10 Mbit/s. */
  private static final int MAX_RELAY_ROUND_BYTES = 400_000;

  /** How long an address without a response is probed. */
  private static final long PROBE_MICROS = 20_000_000;

  /** Larger than any digest, and small enough to allocate a buffer per datagram. */
  private static final int MAX_DATAGRAM_BYTES = 32_000;

  private final String self;
  private final String region;
  private final long startedMillis;
  private final Random random = new Random();
  private final Map<String, Peer> peers = new HashMap<>();
  private final Set<InetSocketAddress> peerAddresses = new HashSet<>();
  private final LivenessTable liveness;

  /** Peers that are new and may not know this instance; they receive one of its next digests. */
  private final Set<InetSocketAddress> newPeers = new LinkedHashSet<>();

  private final Map<InetSocketAddress, Long> probeUntil = new HashMap<>();

  /** Readers that peers follow and this instance does not; they receive its next digest. */
  private final Set<InetSocketAddress> readersOfPeers = new HashSet<>();

  private String followedReader = "";
  private final Listener listener;
  private Channel channel;
  private int round;

  PeerDirectory(String self, String zone, String region, long startedMillis, Listener listener) {
    this.self = self;
    this.region = region;
    this.startedMillis = startedMillis;
    this.listener = listener;
    this.liveness = LivenessTable.create(zone, random);
  }

  /** Receives the messages of peers. */
  interface Listener {
    /** Handles the state and in-flight load of a peer. */
    void onDigest(EdgeDigest digest);

    /** Handles records that a peer at that address read from the store. */
    void onRelay(TopicRelay relay, InetSocketAddress sender);

    /** Handles a configuration that the store lacks. */
    void onCatalogOffer(CatalogOffer offer);
  }

  /** A peer with its last digest. */
  record Peer(EdgeDigest digest, InetSocketAddress address) {}

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
      case CATALOG -> listener.onCatalogOffer(datagram.getCatalog());
      case CONTENT_NOT_SET -> EdgeLog.event("empty_datagram").log();
    }
  }

  private void receive(EdgeDigest digest, DatagramPacket packet) {
    if (digest.getInstance().equals(self)) {
      return;
    }
    long now = Clock.micros();
    LivenessTable.Hearing hearing =
        liveness.hear(
            digest.getInstance(),
            digest.getZone(),
            digest.getStartedMillis(),
            digest.getLeaving(),
            now);
    if (hearing == LivenessTable.Hearing.REPLACED) {
      return;
    }
    if (hearing == LivenessTable.Hearing.NEW) {
      newPeers.add(packet.sender());
    }
    liveness.hearOf(LivenessCodec.decode(digest.getPeers()), now);
    peers.put(digest.getInstance(), new Peer(digest, packet.sender()));
    peerAddresses.add(packet.sender());
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
    if (!peerAddresses.contains(address) && !address.equals(channel.localAddress())) {
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
    round++;
    if (round % KNOWN_PEERS_ROUND_INTERVAL == 0 || !newPeers.isEmpty()) {
      addKnownPeers(digest, newPeers.isEmpty() ? KNOWN_PEERS : KNOWN_PEERS_FOR_NEW, now);
    }
    LivenessTable.Receivers receivers = liveness.receivers(round, now);
    byte[] bytes = encode(digest, liveness.otherDomainReport(now));
    byte[] sameZoneBytes = encode(digest, liveness.sameDomainReport(now));
    if (Math.max(bytes.length, sameZoneBytes.length) > MAX_DATAGRAM_BYTES) {
      EdgeLog.event("digest_too_large").addKeyValue("bytes", bytes.length).log();
      return;
    }
    receivers.sameDomain().forEach(name -> write(sameZoneBytes, peers.get(name).address()));
    receivers.others().forEach(name -> write(bytes, peers.get(name).address()));
    writeToSome(bytes, newPeers, REPLIES);
    // A reader sends its updates only to peers whose digests it has received.
    readersOfPeers.forEach(a -> write(bytes, a));
    readersOfPeers.clear();
    probeUntil.values().removeIf(until -> until < now);
    if (round % PROBE_ROUND_INTERVAL == 0) {
      List<InetSocketAddress> targets = new ArrayList<>(probeUntil.keySet());
      Collections.shuffle(targets, random);
      targets.subList(0, Math.min(PROBES, targets.size())).forEach(a -> write(bytes, a));
      forgetLost(now);
    }
    channel.flush();
  }

  private static byte[] encode(EdgeDigest.Builder digest, LivenessReport report) {
    digest.setPeers(LivenessCodec.encode(report));
    return EdgeDatagram.newBuilder().setDigest(digest).build().toByteArray();
  }

  private void addKnownPeers(EdgeDigest.Builder digest, int maxCount, long now) {
    List<Peer> live = live(now);
    Collections.shuffle(live, random);
    for (Peer peer : live.subList(0, Math.min(maxCount, live.size()))) {
      digest.addKnownPeers(
          peer.address().getAddress().getHostAddress() + ":" + peer.address().getPort());
    }
  }

  /** Sends to some of the addresses and removes these. */
  private void writeToSome(byte[] bytes, Set<InetSocketAddress> addresses, int maxCount) {
    Iterator<InetSocketAddress> iterator = addresses.iterator();
    for (int i = 0; i < maxCount && iterator.hasNext(); i++) {
      write(bytes, iterator.next());
      iterator.remove();
    }
  }

  private void forgetLost(long now) {
    for (String name : liveness.removeForgotten(now)) {
      peerAddresses.remove(peers.remove(name).address());
    }
  }

  /** Returns the size limit of a relay, bytes. */
  int maxRelayBytes(long now) {
    int receivers = Math.max(1, inRegion(now).size());
    return Math.min(MAX_DATAGRAM_BYTES, MAX_RELAY_ROUND_BYTES / receivers);
  }

  private List<Peer> inRegion(long now) {
    return live(now).stream().filter(p -> p.digest().getRegion().equals(region)).toList();
  }

  /** Returns the names of the live peers of the region that do not leave. */
  List<String> namesInRegion(long now) {
    return inRegion(now).stream()
        .filter(p -> !p.digest().getLeaving())
        .map(p -> p.digest().getInstance())
        .toList();
  }

  /** Sends a configuration to a peer if it fits into a datagram. */
  void send(CatalogOffer offer, String instance) {
    byte[] bytes = EdgeDatagram.newBuilder().setCatalog(offer).build().toByteArray();
    Peer peer = peers.get(instance);
    if (peer != null && bytes.length <= MAX_DATAGRAM_BYTES) {
      write(bytes, peer.address());
      channel.flush();
    }
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

  /** Returns the peers that are live. */
  List<Peer> live(long now) {
    List<Peer> live = new ArrayList<>(peers.size());
    for (Map.Entry<String, Peer> peer : peers.entrySet()) {
      if (liveness.isLive(peer.getKey(), now)) {
        live.add(peer.getValue());
      }
    }
    return live;
  }

  /** Returns the digests of the peers that are live and accept requests. */
  List<EdgeDigest> ready(long now) {
    List<EdgeDigest> ready = new ArrayList<>(peers.size());
    for (Map.Entry<String, Peer> peer : peers.entrySet()) {
      EdgeDigest digest = peer.getValue().digest();
      if (digest.getReady() && liveness.acceptsRequests(peer.getKey(), now)) {
        ready.add(digest);
      }
    }
    return ready;
  }

  /** Returns whether a peer is live. */
  boolean isLive(String name, long now) {
    return liveness.isLive(name, now);
  }

  /** Returns the number of peers that are live. */
  int liveCount(long now) {
    return liveness.liveCount(now);
  }
}
