package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.RolloutDigest;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** Which instance records the outcome of a roll-out in the store, and on what evidence. */
class RolloutRecordingTest {
  private static final String STATUS_KEY = "rollout/pool";

  private static EdgeFixture startWithBadVersion() throws IOException {
    EdgeFixture edge =
        EdgeFixture.start(
            r -> new Behaviour.Answer(200, "good"), r -> new Behaviour.Answer(500, "bad"));
    edge.store().put("servers", "i-1", edge.backend(1).entry("pool", "ready", "v2"));
    return edge;
  }

  private static String recordedState(EdgeFixture edge) {
    return edge.store().newest("status", STATUS_KEY).replaceAll(".*\"state\":\"(\\w+)\".*", "$1");
  }

  /** Orders a roll-out of 24 s to the version v2 that has run since then. */
  private static long order(EdgeFixture edge, long startedMillis) {
    edge.store().put("op", "other", "{}");
    long offset = edge.store().end("op");
    edge.store()
        .put(
            "status",
            STATUS_KEY,
            "{\"state\":\"running\",\"target\":\"v2\",\"order_offset\":"
                + offset
                + ",\"started_millis\":"
                + startedMillis
                + "}");
    edge.store()
        .put("op", STATUS_KEY, "{\"service\":\"pool\",\"target\":\"v2\",\"duration_s\":24}");
    return offset;
  }

  /** Guards against a bad version that a restarted instance without evidence completes. */
  @Example
  void testInstanceThatStartsLateInARolloutDoesNotCompleteABadVersion() throws IOException {
    try (EdgeFixture edge = startWithBadVersion();
        FakePeer second = FakePeer.open("z", edge.peerAddress())) {
      order(edge, System.currentTimeMillis() - 21_000);
      edge.await(() -> elapsedAtLeast(second, 23_500));
      assertThat(recordedState(edge)).isEqualTo("running");
      edge.await(
          () -> {
            sendRequest(edge);
            return !recordedState(edge).equals("running");
          });
      assertThat(recordedState(edge)).isEqualTo("rolled_back");
    }
  }

  private static boolean elapsedAtLeast(FakePeer second, long millis) {
    second.sendDigest(EdgeDigest.newBuilder().setReady(true));
    return second.lastDigest().getRolloutsList().stream()
        .anyMatch(r -> r.getElapsedMillis() >= millis);
  }

  private static void sendRequest(EdgeFixture edge) {
    try {
      edge.send("GET", "/read/x", "r" + System.nanoTime(), "");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Guards against a withdrawal that nobody records while the store rejects the first instance. */
  @Example
  void testWithdrawalIsRecordedWhenTheFirstInstanceDoesNotRecordIt() throws IOException {
    try (EdgeFixture edge = startWithBadVersion();
        FakePeer first = FakePeer.open("a", edge.peerAddress())) {
      long offset = order(edge, System.currentTimeMillis() - 1_000);
      edge.await(
          () -> {
            first.sendDigest(
                EdgeDigest.newBuilder()
                    .setReady(true)
                    .addRollouts(
                        RolloutDigest.newBuilder()
                            .setService("pool")
                            .setOrder(offset)
                            .setWithdrawn(true)));
            return recordedState(edge).equals("rolled_back");
          });
    }
  }

  @Example
  void testOutcomeThatAPeerHasRecordedIsTakenOver() throws IOException {
    try (EdgeFixture edge = startWithBadVersion();
        FakePeer first = FakePeer.open("a", edge.peerAddress())) {
      long offset = order(edge, System.currentTimeMillis() - 1_000);
      edge.await(
          () -> {
            first.sendDigest(
                EdgeDigest.newBuilder()
                    .setReady(true)
                    .addRollouts(
                        RolloutDigest.newBuilder()
                            .setService("pool")
                            .setOrder(offset)
                            .setRecorded(true)));
            return first.lastDigest().getRolloutsList().stream()
                .anyMatch(r -> r.getRecorded() && !r.getWithdrawn());
          });
      assertThat(recordedState(edge)).isEqualTo("running");
    }
  }

  /** Guards against the end of all servers of a service, as the old ones stop on completion. */
  @Example
  void testVersionWithoutServersIsNotCompleted() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(200, "good"));
        FakePeer second = FakePeer.open("z", edge.peerAddress())) {
      order(edge, System.currentTimeMillis() - 17_000);
      edge.await(() -> elapsedAtLeast(second, 20_000));
      edge.await(() -> elapsedAtLeast(second, 25_000));
      assertThat(recordedState(edge)).isEqualTo("running");
    }
  }

  /** Guards against requests of a trial that are rejected once its version has no servers. */
  @Example
  void testShareOfAVersionWithoutServersIsServedByTheOthers() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(200, "good"));
        FakePeer second = FakePeer.open("z", edge.peerAddress())) {
      order(edge, System.currentTimeMillis() - 17_000);
      edge.await(() -> elapsedAtLeast(second, 18_000));
      for (int i = 0; i < 100; i++) {
        assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "r" + i, ""))).isEqualTo(200);
      }
    }
  }

  /** Guards against a version that is completed on no evidence, or whose share is rejected. */
  @Example
  void testVersionWhoseServersAreEvacuatedIsNeitherCompletedNorGivenAShare() throws IOException {
    try (EdgeFixture edge =
            PlacementFixture.start(
                r -> PlacementFixture.GOOD,
                "a",
                r -> new Behaviour.Answer(200, "new"),
                "b",
                RolloutRecordingTest::evacuateNewVersion);
        FakePeer second = FakePeer.open("z", edge.peerAddress())) {
      order(edge, System.currentTimeMillis() - 17_000);
      edge.await(() -> elapsedAtLeast(second, 18_000));
      for (int i = 0; i < 100; i++) {
        assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "r" + i, ""))).isEqualTo(200);
      }
      assertThat(edge.backend(1).received()).isEmpty();
      edge.await(() -> elapsedAtLeast(second, 25_000));
      assertThat(recordedState(edge)).isEqualTo("running");
    }
  }

  private static void evacuateNewVersion(EdgeFixture edge) {
    String entry = edge.backend(1).entry("pool", "ready", "v2");
    edge.store().put("servers", "i-1", entry.replace("\"zone\":\"a\"", "\"zone\":\"b\""));
    edge.store().put("op", "evacuate/b", "{}");
  }
}
