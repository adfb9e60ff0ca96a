package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
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
  void testResponsesStayCompleteAndVersionsAreKept() {
    try (Cluster cluster = new Cluster(3)) {
      brokenStreamResumesAtAnotherEngine(cluster);
      mismatchedResponseIsNotForwarded(cluster);
      requestIsRetriedWhenEngineIsSilent(cluster);
      sessionKeepsItsVersionAtEveryInstance(cluster);
      accountUsesOnlyItsAllowedVersions(cluster);
      oneOfConcurrentConfigChangesSucceeds(cluster);
      withdrawnVersionReceivesNoRequests(cluster);
      frozenInstanceDoesNotUseTheWithdrawnVersion(cluster);
      billSurvivesInstanceCrashDuringLogOutage(cluster);
      replacedInstanceCatchesUp(cluster);
      shutdownCompletesInFlightRequests(cluster);
      leavingEngineReceivesNoRequests(cluster);
    }
  }

  private static void brokenStreamResumesAtAnotherEngine(Cluster cluster) {
    cluster.setFaults(cluster.engines.get(0), "{\"breakAfterTokens\":4}");
    for (int i = 0; i < 4; i++) {
      assertWhole(cluster.send(i % 3, Cluster.chatRequest("retelling", 30)), 30);
    }
    cluster.setFaults(cluster.engines.get(0), NO_FAULTS);
  }

  private static void mismatchedResponseIsNotForwarded(Cluster cluster) {
    cluster.setFaults(cluster.engines.get(0), "{\"crossed\":true}");
    for (int i = 0; i < 4; i++) {
      assertWhole(cluster.send(i % 3, Cluster.chatRequest("tag", 5)), 5);
    }
    cluster.setFaults(cluster.engines.get(0), NO_FAULTS);
  }

  private static void requestIsRetriedWhenEngineIsSilent(Cluster cluster) {
    cluster.setFaults(cluster.engines.get(1), "{\"silent\":true}");
    for (int i = 0; i < 3; i++) {
      assertWhole(cluster.send(i, Cluster.chatRequest("tag", 5)), 5);
    }
    cluster.setFaults(cluster.engines.get(1), NO_FAULTS);
  }

  private static void sessionKeepsItsVersionAtEveryInstance(Cluster cluster) {
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

  private static void accountUsesOnlyItsAllowedVersions(Cluster cluster) {
    for (int i = 0; i < 6; i++) {
      Request original = Cluster.chatRequest("tag", 3);
      Request request =
          Request.post(original.target(), original.body())
              .withHeader("Authorization", "Bearer " + Cluster.BRANCH_KEY);
      assertThat(cluster.send(i % 3, request).headers().first("Model-Version")).contains("small@1");
    }
  }

  private static Configuration currentConfiguration(Cluster cluster, Stage largeStage) {
    long version = cluster.status(0).get("config_version").getAsLong();
    return Cluster.configuration(largeStage).withVersion(version);
  }

  private static void oneOfConcurrentConfigChangesSucceeds(Cluster cluster) {
    Configuration base = currentConfiguration(cluster, Stage.LIVE);
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
            0, currentConfiguration(cluster, Stage.TRIAL), Cluster.configuration(Stage.LIVE));
    assertThat(restored.status()).isEqualTo(200);
  }

  private static void withdrawnVersionReceivesNoRequests(Cluster cluster) {
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
            0, currentConfiguration(cluster, Stage.LIVE), Cluster.configuration(Stage.WITHDRAWN));
    long publishedMillis = System.currentTimeMillis();
    assertThat(reply.status()).isEqualTo(200);
    load.forEach(CompletableFuture::join);
    assertThat(cluster.servedRequests())
        .noneMatch(s -> s.version().equals("large@1") && s.at_millis() > publishedMillis);
    cluster.publish(
        0, currentConfiguration(cluster, Stage.WITHDRAWN), Cluster.configuration(Stage.LIVE));
  }

  private static void frozenInstanceDoesNotUseTheWithdrawnVersion(Cluster cluster) {
    cluster.instances.get(1).freeze();
    CompletableFuture<FullResponse> published =
        CompletableFuture.supplyAsync(
            () ->
                cluster.publish(
                    0,
                    currentConfiguration(cluster, Stage.LIVE),
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
    cluster.publish(
        0, currentConfiguration(cluster, Stage.WITHDRAWN), Cluster.configuration(Stage.LIVE));
  }

  private static void billSurvivesInstanceCrashDuringLogOutage(Cluster cluster) {
    cluster.setFaults(cluster.platform, "{\"logDown\":true}");
    FullResponse reply = cluster.send(2, Cluster.chatRequest("tag", 4));
    String id = reply.headers().first("Request-Id").orElseThrow();
    cluster.instances.get(2).kill();
    cluster.setFaults(cluster.platform, NO_FAULTS);
    Cluster.await("bill written to the log", () -> isBilled(cluster, id));
  }

  private static boolean isBilled(Cluster cluster, String id) {
    return cluster.readBills().bills().stream()
        .anyMatch(b -> b.id().equals(id) && b.ending() == Bill.Ending.WHOLE);
  }

  private static void replacedInstanceCatchesUp(Cluster cluster) {
    long version = cluster.status(0).get("config_version").getAsLong();
    cluster.addInstance();
    int newInstance = cluster.instances.size() - 1;
    Cluster.await(
        "new instance ready",
        () ->
            cluster.status(newInstance).get("config_version").getAsLong() == version
                && cluster.status(newInstance).get("fresh").getAsBoolean());
    assertWhole(cluster.send(newInstance, Cluster.chatRequest("tag", 3)), 3);
  }

  private static void shutdownCompletesInFlightRequests(Cluster cluster) {
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
      assertThat(isBilled(cluster, id)).isTrue();
    }
  }

  private static void leavingEngineReceivesNoRequests(Cluster cluster) {
    cluster.setFaults(cluster.engines.get(0), "{\"leaving\":true}");
    Cluster.sleep(3_500);
    long leftMillis = System.currentTimeMillis();
    for (int i = 0; i < 6; i++) {
      assertWhole(cluster.send(0, Cluster.chatRequest("tag", 3)), 3);
    }
    var late =
        cluster.get(cluster.engines.get(0), "/stats").getAsJsonArray("served").asList().stream()
            .filter(s -> s.getAsJsonObject().get("at_millis").getAsLong() > leftMillis)
            .toList();
    assertThat(late).isEmpty();
  }
}
