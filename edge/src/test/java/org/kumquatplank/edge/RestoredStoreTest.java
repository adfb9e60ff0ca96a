package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.kumquatplank.edge.PlacementFixture.GOOD;
import static org.kumquatplank.edge.PlacementFixture.metric;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.CatalogOffer;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;
import org.kumquatplank.testkit.fleet.FakeStore;

/** The store comes back from an older copy: records are gone, and offsets are assigned again. */
class RestoredStoreTest {
  private static final String STATUS_KEY = "rollout/pool";
  private static final String EVACUATE_B = "evacuate/b";

  /** Starts an instance with one backend server per script, and a store that names its era. */
  @SafeVarargs
  private static EdgeFixture start(Function<Received, Behaviour>... scripts) throws IOException {
    return EdgeFixture.start(8_000, List.of(scripts), fixture -> fixture.store().setEra(1));
  }

  /** Lets the store be away for a moment and come back from a copy; returns what is gone. */
  private static Map<String, List<byte[]>> restore(EdgeFixture edge, FakeStore.Copy copy) {
    edge.store().setFault(FakeStore.Fault.DOWN);
    EdgeFixture.pause(300);
    return edge.store().restore(copy);
  }

  private static void returnFromOutage(EdgeFixture edge, Map<String, List<byte[]>> lost) {
    edge.store().rewrite("servers", lost);
    edge.store().setFault(FakeStore.Fault.NONE);
  }

  private static int status(EdgeFixture edge) {
    try {
      return EdgeFixture.status(edge.send("GET", "/read/x", "r" + System.nanoTime(), ""));
    } catch (IOException e) {
      return 0;
    }
  }

  /** Guards against a revoked key that runs for good, as the log has its old length again. */
  @Example
  void testKeyThatIsRevokedAfterARestoreIsRejected() throws IOException {
    try (EdgeFixture edge = start(r -> GOOD)) {
      FakeStore.Copy copy = edge.store().copy();
      edge.store().put("op", "other", "{}");
      edge.putCatalog("\"key-1\"");
      edge.await(() -> metric(edge, "catalog_version") == 2);
      Map<String, List<byte[]>> lost = restore(edge, copy);
      edge.store().put("op", "other", "{}");
      edge.putCatalog("\"key-2\"");
      returnFromOutage(edge, lost);
      edge.await(() -> status(edge) == 401);
    }
  }

  /** Guards against a key that runs again while the copy has the configuration that allowed it. */
  @Example
  void testRevokedKeyStaysRevokedWhileTheStoreLacksTheRevocation() throws IOException {
    try (EdgeFixture edge = start(r -> GOOD)) {
      FakeStore.Copy copy = edge.store().copy();
      edge.putCatalog("\"key-2\"");
      edge.await(() -> status(edge) == 401);
      Map<String, List<byte[]>> lost = restore(edge, copy);
      returnFromOutage(edge, lost);
      edge.await(() -> metric(edge, "store_restored_total") == 1);
      assertThat(status(edge)).isEqualTo(401);
      edge.store().rewrite("op", lost);
      EdgeFixture.pause(500);
      assertThat(status(edge)).isEqualTo(401);
    }
  }

  /** Guards against a revoked key that runs at an instance that starts after a restore. */
  @Example
  void testConfigurationThatTheStoreLacksIsOfferedToAPeer() throws IOException {
    try (EdgeFixture edge = start(r -> GOOD);
        FakePeer peer = FakePeer.open("z", edge.peerAddress())) {
      FakeStore.Copy copy = edge.store().copy();
      edge.putCatalog("\"key-2\"");
      edge.await(() -> status(edge) == 401);
      returnFromOutage(edge, restore(edge, copy));
      edge.await(
          () -> {
            peer.sendDigest(
                EdgeDigest.newBuilder()
                    .setCatalogVersion(1)
                    .setOperatorEra(2)
                    .setOperatorOffset(edge.store().end("op")));
            return !peer.lastOffer().getValue().isEmpty();
          });
      byte[] offered = ValueCompression.decompress(peer.lastOffer().getValue());
      assertThat(new String(offered, StandardCharsets.UTF_8)).contains("key-2");
    }
  }

  @Example
  void testConfigurationThatAPeerOffersIsTakenOver() throws IOException {
    try (EdgeFixture edge = start(r -> GOOD);
        FakePeer peer = FakePeer.open("z", edge.peerAddress())) {
      assertThat(status(edge)).isEqualTo(200);
      String newer =
          edge.store()
              .newest("op", "config")
              .replace("\"version\":1,", "\"version\":9,")
              .replace("key-1", "key-2");
      CatalogOffer offer =
          CatalogOffer.newBuilder()
              .setValue(ValueCompression.compress(newer.getBytes(StandardCharsets.UTF_8)))
              .build();
      edge.await(
          () -> {
            // The peer learns the address of the instance from its digest.
            peer.sendDigest(EdgeDigest.newBuilder());
            peer.sendOffer(offer, "self");
            return status(edge) == 401;
          });
      edge.await(() -> metric(edge, "catalog_version") == 9);
    }
  }

  @Example
  void testEvacuationGoesOnWhileTheStoreLacksIt() throws IOException {
    try (EdgeFixture edge = start(r -> GOOD)) {
      FakeStore.Copy copy = edge.store().copy();
      edge.store().put("op", EVACUATE_B, "{}");
      edge.await(() -> metric(edge, "evacuated_domains") == 1);
      Map<String, List<byte[]>> lost = restore(edge, copy);
      returnFromOutage(edge, lost);
      edge.await(() -> metric(edge, "store_restored_total") == 1);
      for (int i = 0; i < 20; i++) {
        EdgeFixture.pause(100);
        assertThat(metric(edge, "evacuated_domains")).isEqualTo(1);
      }
      edge.store().rewrite("op", lost);
      EdgeFixture.pause(4_000);
      assertThat(metric(edge, "evacuated_domains")).isEqualTo(1);
    }
  }

  @Example
  void testEvacuationThatIsNotWrittenAgainEnds() throws IOException {
    try (EdgeFixture edge = start(r -> GOOD)) {
      FakeStore.Copy copy = edge.store().copy();
      edge.store().put("op", EVACUATE_B, "{}");
      edge.await(() -> metric(edge, "evacuated_domains") == 1);
      returnFromOutage(edge, restore(edge, copy));
      edge.await(() -> metric(edge, "evacuated_domains") == 0);
    }
  }

  /**
   * Guards against a bad version that is rolled out again, as its order has another offset, and
   * against an outcome that nobody writes again.
   */
  @Example
  void testRolledBackVersionStaysSoAndTheOutcomeIsWrittenAgain() throws IOException {
    try (EdgeFixture edge = start(r -> GOOD, r -> new Behaviour.Answer(500, "bad"))) {
      FakeStore.Copy copy = edge.store().copy();
      edge.store().put("servers", "i-1", edge.backend(1).entry("pool", "ready", "v2"));
      edge.store().put("op", "other", "{}");
      edge.store()
          .put("op", STATUS_KEY, "{\"service\":\"pool\",\"target\":\"v2\",\"duration_s\":24}");
      edge.await(() -> status(edge) > 0 && isRolledBack(edge));
      int before = edge.backend(1).received().size();
      Map<String, List<byte[]>> lost = restore(edge, copy);
      assertThat(isRolledBack(edge)).isFalse();
      List<byte[]> order = lost.get("op").subList(1, 2);
      edge.store().rewrite("op", Map.of("op", order));
      returnFromOutage(edge, lost);
      edge.await(() -> status(edge) > 0 && isRolledBack(edge));
      for (int i = 0; i < 50; i++) {
        assertThat(status(edge)).isEqualTo(200);
      }
      assertThat(edge.backend(1).received()).hasSize(before);
    }
  }

  private static boolean isRolledBack(EdgeFixture edge) {
    return edge.store().newest("status", STATUS_KEY).contains("\"state\":\"rolled_back\"");
  }
}
