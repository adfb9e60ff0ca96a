package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterExample;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.Request;

/**
 * Model requests through real processes that fail. Guards against incomplete or mixed-up responses,
 * use of withdrawn or disallowed versions, lost bills, and requests cut off at shutdown.
 */
class ServingProcessTest {
  private static final String NO_FAULTS = "{}";

  private static Cluster cluster;

  @BeforeContainer
  static void startCluster() {
    cluster = new Cluster(3);
  }

  @AfterContainer
  static void stopCluster() {
    cluster.close();
  }

  @AfterExample
  void restoreCluster() {
    cluster.restore();
  }

  private static String responseText(FullResponse reply) {
    return JsonParser.parseString(reply.body())
        .getAsJsonObject()
        .getAsJsonArray("choices")
        .get(0)
        .getAsJsonObject()
        .getAsJsonObject("message")
        .get("content")
        .getAsString();
  }

  private static void assertWhole(FullResponse reply, int tokens) {
    assertThat(reply.status()).as(reply.body()).isEqualTo(200);
    String[] words = responseText(reply).split(" ", -1);
    assertThat(words).hasSize(tokens + 1);
    assertThat(words[tokens - 1]).isEqualTo("word" + (tokens - 1));
  }

  @Example
  void testBrokenStreamResumesAtAnotherEngine() {
    cluster.setFaults(cluster.engines.get(0), "{\"breakAfterTokens\":4}");
    for (int i = 0; i < 4; i++) {
      assertWhole(cluster.send(i % 3, Cluster.chatRequest("retelling", 30)), 30);
    }
  }

  @Example
  void testMismatchedResponseIsNotForwarded() {
    cluster.setFaults(cluster.engines.get(0), "{\"crossed\":true}");
    for (int i = 0; i < 4; i++) {
      assertWhole(cluster.send(i % 3, Cluster.chatRequest("tag", 5)), 5);
    }
  }

  @Example
  void testRequestIsRetriedWhenEngineIsSilent() {
    cluster.setFaults(cluster.engines.get(1), "{\"silent\":true}");
    for (int i = 0; i < 3; i++) {
      assertWhole(cluster.send(i, Cluster.chatRequest("tag", 5)), 5);
    }
  }

  @Example
  void testSessionKeepsItsVersionAtEveryInstance() {
    FullResponse first =
        cluster.send(0, Cluster.chatRequest("retelling", 5).withHeader("Session-Token", "new"));
    String version = first.headers().first("Model-Version").orElseThrow();
    String token = first.headers().first("Session-Token").orElseThrow();
    for (int i = 0; i < 9; i++) {
      FullResponse next =
          cluster.send(
              i % 3, Cluster.chatRequest("retelling", 5).withHeader("Session-Token", token));
      assertThat(next.headers().first("Model-Version")).contains(version);
    }
  }

  @Example
  void testAccountUsesOnlyItsAllowedVersions() {
    for (int i = 0; i < 6; i++) {
      Request original = Cluster.chatRequest("tag", 3);
      Request request =
          Request.post(original.target(), original.body())
              .withHeader("Authorization", "Bearer " + Cluster.BRANCH_KEY);
      assertThat(cluster.send(i % 3, request).headers().first("Model-Version")).contains("small@1");
    }
  }

  @Example
  void testOneOfConcurrentConfigChangesSucceeds() {
    Configuration base = cluster.currentConfiguration(Stage.LIVE);
    Configuration changed = Cluster.configuration(Stage.TRIAL);
    List<CompletableFuture<FullResponse>> replies = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int instance = i;
      replies.add(CompletableFuture.supplyAsync(() -> cluster.publish(instance, base, changed)));
    }
    List<Integer> statuses = replies.stream().map(f -> f.join().status()).sorted().toList();
    assertThat(statuses).containsExactly(200, 409, 409);
    FullResponse restored =
        cluster.publish(
            0, cluster.currentConfiguration(Stage.TRIAL), Cluster.configuration(Stage.LIVE));
    assertThat(restored.status()).isEqualTo(200);
  }

  @Example
  void testWithdrawnVersionReceivesNoRequests() {
    List<CompletableFuture<Void>> load = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int instance = i;
      load.add(
          CompletableFuture.runAsync(
              () -> {
                for (int n = 0; n < 40; n++) {
                  cluster.send(instance, Cluster.chatRequest("retelling", 3));
                }
              }));
    }
    Cluster.sleep(300);
    FullResponse reply =
        cluster.publish(
            0, cluster.currentConfiguration(Stage.LIVE), Cluster.configuration(Stage.WITHDRAWN));
    long publishedMillis = System.currentTimeMillis();
    assertThat(reply.status()).isEqualTo(200);
    load.forEach(CompletableFuture::join);
    assertThat(cluster.servedRequests())
        .noneMatch(s -> s.version().equals("large@1") && s.at_millis() > publishedMillis);
  }

  @Example
  void testFrozenInstanceDoesNotUseTheWithdrawnVersion() {
    cluster.instances.get(1).freeze();
    CompletableFuture<FullResponse> published =
        CompletableFuture.supplyAsync(
            () ->
                cluster.publish(
                    0,
                    cluster.currentConfiguration(Stage.LIVE),
                    Cluster.configuration(Stage.WITHDRAWN)));
    Cluster.sleep(4_000);
    long withdrawnMillis = System.currentTimeMillis();
    cluster.instances.get(1).resume();
    for (int i = 0; i < 10; i++) {
      cluster.send(1, Cluster.chatRequest("retelling", 3));
    }
    published.join();
    assertThat(cluster.servedRequests())
        .noneMatch(s -> s.version().equals("large@1") && s.at_millis() >= withdrawnMillis);
  }

  @Example
  void testBillSurvivesInstanceCrashDuringLogOutage() {
    cluster.setFaults(cluster.platform, "{\"logDown\":true}");
    FullResponse reply = cluster.send(2, Cluster.chatRequest("tag", 4));
    String id = reply.headers().first("Request-Id").orElseThrow();
    cluster.instances.get(2).kill();
    cluster.setFaults(cluster.platform, NO_FAULTS);
    Cluster.await("bill written to the log", () -> isBilled(id));
  }

  private static boolean isBilled(String id) {
    return cluster.readBills().bills().stream()
        .anyMatch(b -> b.id().equals(id) && b.ending() == Bill.Ending.WHOLE);
  }

  @Example
  void testReplacedInstanceCatchesUp() {
    long version = cluster.status(0).get("config_version").getAsLong();
    cluster.replaceInstance(2);
    Cluster.await(
        "new instance ready",
        () ->
            cluster.status(2).get("config_version").getAsLong() == version
                && cluster.status(2).get("fresh").getAsBoolean());
    assertWhole(cluster.send(2, Cluster.chatRequest("tag", 3)), 3);
  }

  @Example
  void testShutdownCompletesInFlightRequests() {
    List<CompletableFuture<FullResponse>> inFlight = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      inFlight.add(
          CompletableFuture.supplyAsync(
              () -> cluster.send(1, Cluster.chatRequest("retelling", 300))));
    }
    Cluster.sleep(300);
    int exitCode = cluster.instances.get(1).terminate();
    inFlight.forEach(reply -> assertWhole(reply.join(), 300));
    assertThat(exitCode).isZero();
    for (CompletableFuture<FullResponse> reply : inFlight) {
      String id = reply.join().headers().first("Request-Id").orElseThrow();
      assertThat(isBilled(id)).isTrue();
    }
  }

  @Example
  void testLeavingEngineReceivesNoRequests() {
    cluster.setFaults(cluster.engines.get(0), "{\"leaving\":true}");
    Cluster.sleep(3_500);
    long leftMillis = System.currentTimeMillis();
    try {
      for (int i = 0; i < 6; i++) {
        assertWhole(cluster.send(0, Cluster.chatRequest("tag", 3)), 3);
      }
      var late =
          cluster.get(cluster.engines.get(0), "/stats").getAsJsonArray("served").asList().stream()
              .filter(s -> s.getAsJsonObject().get("at_millis").getAsLong() > leftMillis)
              .toList();
      assertThat(late).isEmpty();
    } finally {
      cluster.replaceEngine(0);
    }
  }
}
