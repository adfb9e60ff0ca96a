package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.ColdBackend;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** Backend servers that are cold, by their entries, their responses or the word of a peer. */
class ColdServerTest {
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");

  /** Time after which an instance without peers takes itself to be the only one. */
  private static final long SETTLED_MILLIS = 4_500;

  private static Behaviour cold(long remainingMillis) {
    return new Behaviour.AnswerWith("X-Cold-Ms: " + remainingMillis + "\r\n", "good");
  }

  private static int send(EdgeFixture edge) {
    try {
      return EdgeFixture.status(edge.send("GET", "/read/x", "r" + System.nanoTime(), ""));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static String entry(EdgeFixture edge, int number, long coldMillis) {
    return edge.backend(number)
        .entry("pool", "ready")
        .replace("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":" + coldMillis);
  }

  private static boolean knowsColdServers(EdgeFixture edge, int count) {
    return edge.dataPlane().metrics().text().contains("cold_servers " + count + "\n");
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  @Example
  void testServerWhoseEntrySaysThatItIsColdGetsNothingWhileAnotherHasRoom() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD, r -> GOOD)) {
      edge.putColdStart(2);
      edge.await(
          () -> {
            edge.store().put("servers", "i-0", entry(edge, 0, 60_000));
            edge.store().put("servers", "i-0", entry(edge, 0, 60_001));
            return knowsColdServers(edge, 1);
          });
      int before = edge.backend(0).received().size();
      for (int i = 0; i < 20; i++) {
        assertThat(send(edge)).isEqualTo(200);
      }
      assertThat(edge.backend(0).received()).hasSize(before);
    }
  }

  @Example
  void testServerThatSaysInAResponseThatItIsColdGetsNoMoreThanItTolerates() throws IOException {
    AtomicReference<Behaviour> response = new AtomicReference<>(GOOD);
    try (EdgeFixture edge = EdgeFixture.start(r -> response.get())) {
      edge.putColdStart(2);
      sleep(SETTLED_MILLIS);
      for (int i = 0; i < 10; i++) {
        assertThat(send(edge)).isEqualTo(200);
      }
      response.set(cold(5_000));
      assertThat(send(edge)).isEqualTo(200);
      // Nothing in the second after the response that says so, as that second may be full.
      assertThat(send(edge)).isEqualTo(503);
      sleep(1_100);
      int before = edge.backend(0).received().size();
      long start = System.nanoTime();
      for (int i = 0; i < 8; i++) {
        assertThat(send(edge)).isEqualTo(200);
      }
      assertThat(System.nanoTime() - start).isGreaterThan(3_500_000_000L);
      assertThat(edge.backend(0).received()).hasSize(before + 8);
    }
  }

  /** An instance that has heard of no peers yet refuses what it can't send in time. */
  @Example
  void testInstanceThatHasJustStartedSendsNothingToAColdServer() throws IOException {
    AtomicReference<Behaviour> response = new AtomicReference<>(cold(60_000));
    try (EdgeFixture edge = EdgeFixture.start(r -> response.get())) {
      edge.putColdStart(2);
      edge.await(() -> send(edge) == 200 && knowsColdServers(edge, 1));
      int before = edge.backend(0).received().size();
      assertThat(send(edge)).isEqualTo(503);
      assertThat(edge.backend(0).received()).hasSize(before);
      assertThat(edge.dataPlane().metrics().text()).contains("refused_cold_total 1");
    }
  }

  @Example
  void testInstanceTellsPeersAndIsToldByThem() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD, r -> GOOD);
        FakePeer peer = FakePeer.open("z", edge.peerAddress())) {
      edge.putColdStart(2);
      ColdBackend cold =
          ColdBackend.newBuilder()
              .setBackend("i-0")
              .setStartedMillis(1)
              .setRemainingMillis(60_000)
              .build();
      edge.await(
          () -> {
            peer.sendDigest(
                EdgeDigest.newBuilder()
                    .addColdBackends(cold)
                    .addColdBackends(cold.toBuilder().setBackend("i-1").setStartedMillis(0)));
            return peer.lastDigest().getColdBackendsCount() == 1;
          });
      assertThat(peer.lastDigest().getColdBackends(0).getBackend()).isEqualTo("i-0");
      assertThat(peer.lastDigest().getColdBackends(0).getRemainingMillis())
          .isBetween(50_000, 61_000);
      int before = edge.backend(0).received().size();
      for (int i = 0; i < 20; i++) {
        assertThat(send(edge)).isEqualTo(200);
      }
      assertThat(edge.backend(0).received()).hasSize(before);
    }
  }

  @Example
  void testServiceWithoutAColdStartIsServedAsBefore() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> cold(60_000))) {
      for (int i = 0; i < 10; i++) {
        assertThat(send(edge)).isEqualTo(200);
      }
    }
  }
}
