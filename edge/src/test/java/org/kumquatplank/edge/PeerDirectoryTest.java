package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.CatalogOffer;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.RelayedRecord;
import org.kumquatplank.link.proto.TopicRelay;

class PeerDirectoryTest {
  private static final long TIMEOUT_SECONDS = 8;

  /** Queues the messages of peers. */
  private static final class Inbox implements PeerDirectory.Listener {
    private final BlockingQueue<EdgeDigest> digests = new LinkedBlockingQueue<>();
    private final BlockingQueue<TopicRelay> relays = new LinkedBlockingQueue<>();

    @Override
    public void onDigest(EdgeDigest digest) {
      digests.add(digest);
    }

    @Override
    public void onRelay(TopicRelay relay, InetSocketAddress sender) {
      relays.add(relay);
    }

    @Override
    public void onCatalogOffer(CatalogOffer offer) {}
  }

  @Example
  void testLargeRelayArrivesInFull() throws InterruptedException {
    EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    try {
      Inbox inboxA = new Inbox();
      Inbox inboxB = new Inbox();
      PeerDirectory a = new PeerDirectory("a", "z", "r", 1, inboxA);
      PeerDirectory b = new PeerDirectory("b", "z", "r", 1, inboxB);
      InetSocketAddress addressA = EdgeFixture.freeAddress();
      InetSocketAddress addressB = EdgeFixture.freeAddress();
      a.bind(loop, addressA);
      b.bind(loop, addressB);
      EdgeDigest.Builder digest = EdgeDigest.newBuilder().setZone("z").setRegion("r");
      loop.execute(() -> b.probe(addressA, Clock.micros()));
      // Addresses are probed in every second round.
      loop.execute(() -> b.send(digest.clone(), Clock.micros()));
      loop.execute(() -> b.send(digest.clone(), Clock.micros()));
      assertThat(inboxA.digests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
      TopicRelay relay =
          TopicRelay.newBuilder()
              .setSender("a")
              .setTopic("op")
              .addRecords(
                  RelayedRecord.newBuilder().setValue(ByteString.copyFrom(new byte[20_000])))
              .build();
      loop.execute(() -> a.send(relay, Clock.micros()));
      assertThat(inboxB.relays.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(relay);
    } finally {
      loop.parent().shutdownGracefully();
    }
  }

  /** A reader sends updates only to peers that it knows by their digests. */
  @Example
  void testReaderThatAPeerNamesReceivesADigest() throws InterruptedException {
    EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    try {
      Inbox reader = new Inbox();
      Inbox inboxC = new Inbox();
      PeerDirectory a = new PeerDirectory("a", "z", "r", 1, reader);
      PeerDirectory b = new PeerDirectory("b", "z", "r", 1, new Inbox());
      PeerDirectory c = new PeerDirectory("c", "z", "r", 1, inboxC);
      InetSocketAddress addressA = EdgeFixture.freeAddress();
      InetSocketAddress addressC = EdgeFixture.freeAddress();
      a.bind(loop, addressA);
      b.bind(loop, EdgeFixture.freeAddress());
      c.bind(loop, addressC);
      EdgeDigest.Builder namesA =
          EdgeDigest.newBuilder()
              .setZone("z")
              .setRegion("r")
              .setOperatorReaderAddress("127.0.0.1:" + addressA.getPort());
      loop.execute(() -> b.probe(addressC, Clock.micros()));
      // Addresses are probed in every second round.
      loop.execute(() -> b.send(namesA.clone(), Clock.micros()));
      loop.execute(() -> b.send(namesA.clone(), Clock.micros()));
      assertThat(inboxC.digests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
      EdgeDigest.Builder readsItself = EdgeDigest.newBuilder().setZone("z").setRegion("r");
      loop.execute(() -> c.send(readsItself, Clock.micros()));
      EdgeDigest received = reader.digests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(received).isNotNull();
      assertThat(received.getInstance()).isEqualTo("c");
    } finally {
      loop.parent().shutdownGracefully();
    }
  }

  /** A peer whose digest was never heard before may not know this instance. */
  @Example
  void testNewPeerReceivesADigest() throws InterruptedException {
    EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    try {
      Inbox inboxA = new Inbox();
      Inbox inboxB = new Inbox();
      PeerDirectory a = new PeerDirectory("a", "z", "r", 1, inboxA);
      PeerDirectory b = new PeerDirectory("b", "other", "r", 1, inboxB);
      InetSocketAddress addressA = EdgeFixture.freeAddress();
      a.bind(loop, addressA);
      b.bind(loop, EdgeFixture.freeAddress());
      // Peers of its own failure domain take the places in the round.
      for (int i = 0; i < 7; i++) {
        PeerDirectory peer = new PeerDirectory("p" + i, "z", "r", 1, new Inbox());
        peer.bind(loop, EdgeFixture.freeAddress());
        probe(loop, peer, "z", addressA);
      }
      probe(loop, b, "other", addressA);
      for (int i = 0; i < 8; i++) {
        assertThat(inboxA.digests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
      }
      loop.execute(
          () -> a.send(EdgeDigest.newBuilder().setZone("z").setRegion("r"), Clock.micros()));
      EdgeDigest reply = inboxB.digests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(reply).isNotNull();
      assertThat(reply.getKnownPeersCount()).isEqualTo(8);
      assertThat(reply.getPeers().getProcessesCount()).isEqualTo(7);
    } finally {
      loop.parent().shutdownGracefully();
    }
  }

  private static void probe(
      EventLoop loop, PeerDirectory peer, String zone, InetSocketAddress address) {
    loop.execute(() -> peer.probe(address, Clock.micros()));
    for (int i = 0; i < 2; i++) {
      // Addresses are probed in every second round.
      loop.execute(
          () -> peer.send(EdgeDigest.newBuilder().setZone(zone).setRegion("r"), Clock.micros()));
    }
  }
}
