package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.LeavingBackend;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Backend servers that say in a response that they leave, before the store tells it. */
class LeavingServerTest {
  private static final String LEAVING = "Server-Leaving: 1\r\n";
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");

  private static void assertNothingMoreIsSent(Function<Received, Behaviour> lastResponse)
      throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(lastResponse, r -> GOOD)) {
      edge.await(() -> send(edge) && !edge.backend(0).received().isEmpty());
      for (int i = 0; i < 20; i++) {
        assertThat(send(edge)).isTrue();
      }
      assertThat(edge.backend(0).received()).hasSize(1);
    }
  }

  private static boolean send(EdgeFixture edge) {
    try {
      return EdgeFixture.status(edge.send("GET", "/read/x", "r" + System.nanoTime(), "")) == 200;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Guards against requests to a server that has said in a response that it leaves. */
  @Example
  void testServerThatSaysSoInASuccessGetsNothingMore() throws IOException {
    assertNothingMoreIsSent(r -> new Behaviour.AnswerWith(LEAVING, "good"));
  }

  @Example
  void testServerThatSaysSoInARefusalGetsNothingMore() throws IOException {
    assertNothingMoreIsSent(r -> new Behaviour.RefuseWith(LEAVING));
  }

  @Example
  void testServerThatSaysSoInAFailureGetsNothingMore() throws IOException {
    assertNothingMoreIsSent(
        r ->
            new Behaviour.Raw(
                FakeBackendServer.openHead(r).replace("200 OK", "500 Failed")
                    + LEAVING
                    + "Content-Length: 0\r\n\r\n"));
  }

  @Example
  void testServerThatSaysSoAsItBeginsAStreamGetsNothingMore() throws IOException {
    Function<Received, Behaviour> stream =
        r ->
            new Behaviour.Raw(
                FakeBackendServer.openHead(r)
                    + LEAVING
                    + "Content-Length: 24\r\n\r\nid: 1\ndata: one event\n\n");
    try (EdgeFixture edge = EdgeFixture.start(stream)) {
      assertThat(edge.send("POST", "/tell/x", "a", "X-Model: *\r\n")).contains("one event");
      String second = edge.send("POST", "/tell/x", "b", "X-Model: *\r\n");
      assertThat(EdgeFixture.status(second)).isEqualTo(503);
      assertThat(edge.backend(0).received()).hasSize(1);
    }
  }

  @Example
  void testNewProcessAtTheAddressStartsClean() throws IOException {
    AtomicBoolean leaving = new AtomicBoolean(true);
    try (EdgeFixture edge =
        EdgeFixture.start(r -> leaving.get() ? new Behaviour.AnswerWith(LEAVING, "good") : GOOD)) {
      assertThat(send(edge)).isTrue();
      assertThat(send(edge)).isFalse();
      leaving.set(false);
      String entry = edge.backend(0).entry("pool", "ready");
      edge.store().put("servers", "i-0", entry.replace("\"born\":1", "\"born\":2"));
      edge.await(() -> send(edge));
    }
  }

  @Example
  void testInstanceTellsPeersAndIsToldByThem() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD, r -> GOOD);
        FakePeer peer = FakePeer.open("z", edge.peerAddress())) {
      LeavingBackend oldProcess =
          LeavingBackend.newBuilder().setBackend("i-1").setStartedMillis(0).build();
      LeavingBackend process = oldProcess.toBuilder().setBackend("i-0").setStartedMillis(1).build();
      edge.await(
          () -> {
            peer.sendDigest(
                EdgeDigest.newBuilder().addLeavingBackends(process).addLeavingBackends(oldProcess));
            return peer.lastDigest().getLeavingBackendsList().contains(process);
          });
      int before = edge.backend(0).received().size();
      for (int i = 0; i < 20; i++) {
        assertThat(send(edge)).isTrue();
      }
      assertThat(edge.backend(0).received()).hasSize(before);
      assertThat(peer.lastDigest().getLeavingBackendsList()).containsExactly(process);
    }
  }
}
