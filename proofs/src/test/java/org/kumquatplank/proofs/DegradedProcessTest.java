package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterExample;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.Request;

/**
 * Degraded service with real processes: a version whose quality falls, a slow log, and engines
 * whose slots are all in use.
 */
class DegradedProcessTest {
  private static Cluster cluster;

  @BeforeContainer
  static void startCluster() {
    cluster = new Cluster(2);
  }

  @AfterContainer
  static void stopCluster() {
    cluster.close();
  }

  @AfterExample
  void restoreCluster() {
    cluster.restore();
  }

  private static String modelOf(FullResponse reply) {
    return JsonParser.parseString(reply.body()).getAsJsonObject().get("model").getAsString();
  }

  private static List<String> sendAndCollectModels(int requests) {
    List<CompletableFuture<List<String>>> callers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int instance = i % 2;
      callers.add(
          CompletableFuture.supplyAsync(
              () ->
                  IntStream.range(0, requests / 4)
                      .mapToObj(n -> modelOf(cluster.send(instance, Cluster.chatRequest("tag", 2))))
                      .toList()));
    }
    return callers.stream().flatMap(f -> f.join().stream()).toList();
  }

  @Example
  void testVersionWithFallingQualityIsDemoted() {
    Cluster.await(
        "requests are sent to the low-cost version only",
        () -> !sendAndCollectModels(40).contains("large@1"));
    for (ManagedProcess engine : cluster.engines) {
      cluster.setFaults(engine, "{\"qualityDrop\":0.5,\"dropVersion\":\"small@1\"}");
    }
    Cluster.await(
        "requests are no longer sent to the demoted version",
        () -> !sendAndCollectModels(40).contains("small@1"));
    var demotions = cluster.get(cluster.platform, "/v1/log/demotions?from=0&wait_ms=1000");
    assertThat(demotions.getAsJsonArray("records").toString()).contains("small@1");
  }

  @Example
  void testDelayIsReportedOnTheStream() {
    Executor executor = Executors.newVirtualThreadPerTaskExecutor();
    List<CompletableFuture<FullResponse>> load = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      int instance = i % 2;
      Request request = streamedChatRequest("hurried", 400);
      load.add(CompletableFuture.supplyAsync(() -> cluster.send(instance, request), executor));
    }
    List<String> bodies = load.stream().map(f -> f.join().body()).toList();
    List<String> delayed =
        bodies.stream().filter(b -> b.startsWith(": {\"delayed_until\"")).toList();
    assertThat(delayed).isNotEmpty();
    assertThat(delayed)
        .allMatch(b -> b.contains("data: [DONE]") || b.contains("\"ran\":\"not_run\""));
  }

  private static Request streamedChatRequest(String workClass, int tokens) {
    Request unary = Cluster.chatRequest(workClass, tokens);
    String body = unary.body().replace("\"messages\"", "\"stream\":true,\"messages\"");
    return Request.post(unary.target(), body)
        .withHeader("Authorization", "Bearer " + Cluster.HEAD_OFFICE_KEY);
  }

  @Example
  void testConfigChangeTakesEffectWithSlowLog() {
    cluster.setFaults(cluster.platform, "{\"logSlowMillis\":900}");
    FullResponse reply =
        cluster.publish(
            0, cluster.currentConfiguration(Stage.LIVE), Cluster.configuration(Stage.WITHDRAWN));
    assertThat(reply.status()).as(reply.body()).isEqualTo(200);
  }

  @Example
  void testDrainWritesBillsWithSlowLog() {
    cluster.setFaults(cluster.platform, "{\"logSlowMillis\":900}");
    FullResponse last = cluster.send(1, Cluster.chatRequest("tag", 3));
    String id = last.headers().first("Request-Id").orElseThrow();
    assertThat(cluster.instances.get(1).terminate()).isZero();
    cluster.setFaults(cluster.platform, "{}");
    assertThat(cluster.readBills().bills()).anyMatch(b -> b.id().equals(id));
  }
}
