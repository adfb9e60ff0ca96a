package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

class LaggingInstanceTest {
  /** Keeps the last digest of the instance. */
  private static final class DigestRecorder implements PeerDirectory.Listener {
    private volatile EdgeDigest last = EdgeDigest.getDefaultInstance();

    @Override
    public void onDigest(EdgeDigest digest) {
      last = digest;
    }

    @Override
    public void onRelay(TopicRelay relay, InetSocketAddress sender) {}
  }

  /** A peer named "a" in the region of the instance, so that the instance follows its updates. */
  private static final class FakePeer implements AutoCloseable {
    private final EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final InetSocketAddress address = EdgeFixture.freeAddress();
    private final DigestRecorder received = new DigestRecorder();
    private final PeerDirectory directory = new PeerDirectory("a", "a", "r", 1, received);

    FakePeer(InetSocketAddress instance) {
      directory.bind(loop, address);
      loop.execute(() -> directory.probe(instance, Clock.micros()));
    }

    void sendDigest(long catalogVersion, long operatorOffset) {
      EdgeDigest.Builder digest =
          EdgeDigest.newBuilder()
              .setZone("a")
              .setRegion("r")
              .setCatalogVersion(catalogVersion)
              .setOperatorOffset(operatorOffset);
      loop.execute(() -> directory.send(digest, Clock.micros()));
    }

    void sendUpdate(long from, long next) {
      TopicRelay relay =
          TopicRelay.newBuilder().setSender("a").setTopic("op").setFrom(from).setNext(next).build();
      loop.execute(() -> directory.send(relay, Clock.micros()));
    }

    @Override
    public void close() {
      loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static int status(EdgeFixture edge) {
    try {
      return EdgeFixture.status(edge.send("GET", "/read/x", "poll", ""));
    } catch (IOException e) {
      return 0;
    }
  }

  @Example
  void testInstanceThatLostARevocationRejectsTheKeyOnceAPeerNamesTheVersion() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(200, "good"));
        FakePeer peer = new FakePeer(edge.peerAddress())) {
      edge.await(
          () -> {
            peer.sendDigest(1, 1);
            peer.sendUpdate(1, 2);
            return peer.received.last.getOperatorOffset() == 2;
          });
      edge.putCatalog("\"key-2\"");
      assertThat(status(edge)).isEqualTo(200);
      edge.await(
          () -> {
            peer.sendDigest(2, 2);
            return status(edge) == 401;
          });
    }
  }

  @Example
  void testDigestNamesTheReaderThatTheInstanceFollows() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(200, "good"));
        FakePeer peer = new FakePeer(edge.peerAddress())) {
      edge.await(
          () -> {
            peer.sendDigest(1, 1);
            peer.sendUpdate(1, 1);
            return peer.received
                .last
                .getOperatorReaderAddress()
                .equals("127.0.0.1:" + peer.address.getPort());
          });
    }
  }
}
