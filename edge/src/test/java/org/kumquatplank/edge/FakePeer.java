package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.link.proto.CatalogOffer;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.TopicRelay;

/** A peer in the failure domain of the instance under test that sends what a test scripts. */
final class FakePeer implements AutoCloseable {
  private final String name;
  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final InetSocketAddress address = EdgeFixture.freeAddress();
  private final DigestRecorder received = new DigestRecorder();
  private final PeerDirectory directory;

  private FakePeer(String name) {
    this.name = name;
    this.directory = new PeerDirectory(name, "a", "r", 1, received);
  }

  /** Keeps the last digest of the instance. */
  private static final class DigestRecorder implements PeerDirectory.Listener {
    private volatile EdgeDigest last = EdgeDigest.getDefaultInstance();
    private volatile CatalogOffer lastOffer = CatalogOffer.getDefaultInstance();

    @Override
    public void onDigest(EdgeDigest digest) {
      last = digest;
    }

    @Override
    public void onRelay(TopicRelay relay, InetSocketAddress sender) {}

    @Override
    public void onCatalogOffer(CatalogOffer offer) {
      lastOffer = offer;
    }
  }

  /** Opens a peer that makes itself known to the instance at this address. */
  static FakePeer open(String name, InetSocketAddress instance) {
    FakePeer peer = new FakePeer(name);
    peer.directory.bind(peer.loop, peer.address);
    peer.loop.execute(() -> peer.directory.probe(instance, Clock.micros()));
    return peer;
  }

  /** Returns the last digest of the instance. */
  EdgeDigest lastDigest() {
    return received.last;
  }

  /** Returns the last configuration that the instance has offered, or an empty one. */
  CatalogOffer lastOffer() {
    return received.lastOffer;
  }

  /** Returns the address as digests name it. */
  String address() {
    return "127.0.0.1:" + address.getPort();
  }

  void sendDigest(EdgeDigest.Builder digest) {
    digest.setZone("a").setRegion("r");
    loop.execute(() -> directory.send(digest, Clock.micros()));
  }

  /** Offers a configuration to an instance of which this peer has a digest. */
  void sendOffer(CatalogOffer offer, String instance) {
    loop.execute(() -> directory.send(offer, instance));
  }

  void sendUpdate(TopicRelay.Builder update) {
    TopicRelay relay = update.setSender(name).build();
    loop.execute(() -> directory.send(relay, Clock.micros()));
  }

  @Override
  public void close() {
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
