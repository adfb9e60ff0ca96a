package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

class LaggingInstanceTest {
  private static void sendDigest(FakePeer peer, long catalogVersion, long operatorOffset) {
    peer.sendDigest(
        EdgeDigest.newBuilder()
            .setCatalogVersion(catalogVersion)
            .setOperatorOffset(operatorOffset));
  }

  private static void sendUpdate(FakePeer peer, long from, long next) {
    peer.sendUpdate(TopicRelay.newBuilder().setTopic("op").setFrom(from).setNext(next));
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
        FakePeer peer = FakePeer.open("a", edge.peerAddress())) {
      edge.await(
          () -> {
            sendDigest(peer, 1, 1);
            sendUpdate(peer, 1, 2);
            return peer.lastDigest().getOperatorOffset() == 2;
          });
      edge.putCatalog("\"key-2\"");
      assertThat(status(edge)).isEqualTo(200);
      edge.await(
          () -> {
            sendDigest(peer, 2, 2);
            return status(edge) == 401;
          });
    }
  }

  @Example
  void testDigestNamesTheReaderThatTheInstanceFollows() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(200, "good"));
        FakePeer peer = FakePeer.open("a", edge.peerAddress())) {
      edge.await(
          () -> {
            sendDigest(peer, 1, 1);
            sendUpdate(peer, 1, 1);
            return peer.lastDigest().getOperatorReaderAddress().equals(peer.address());
          });
    }
  }
}
