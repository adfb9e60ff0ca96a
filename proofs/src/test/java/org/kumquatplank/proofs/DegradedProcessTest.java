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
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Request;

/** Slow decline, a slow log, and full engines, with real processes. */
class DegradedProcessTest {
  @Example
  void testServiceDegradesAsPromised() {
    try (Cluster cluster = new Cluster(2)) {
      delayIsToldOnTheStream(cluster);
      versionThatTurnsBadIsLeft(cluster);
      changeIsInForceThoughTheLogIsSlow(cluster);
      drainHandsOverWhileTheLogIsSlow(cluster);
    }
  }

  private static String model(WholeReply reply) {
    return JsonParser.parseString(reply.body()).getAsJsonObject().get("model").getAsString();
  }

  private static List<String> models(Cluster cluster, int requests) {
    List<CompletableFuture<List<String>>> lines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int entry = i % 2;
      lines.add(
          CompletableFuture.supplyAsync(
              () ->
                  IntStream.range(0, requests / 4)
                      .mapToObj(n -> model(cluster.ask(entry, Cluster.chat("tag", 2))))
                      .toList()));
    }
    return lines.stream().flatMap(f -> f.join().stream()).toList();
  }

  private static void versionThatTurnsBadIsLeft(Cluster cluster) {
    Cluster.await("the cheap version serves", () -> !models(cluster, 40).contains("large@1"));
    for (Cluster.Member engine : cluster.engines) {
      cluster.faults(engine, "{\"qualityDrop\":0.5,\"dropVersion\":\"small@1\"}");
    }
    Cluster.await("the bad version is left", () -> !models(cluster, 40).contains("small@1"));
    var demotions = cluster.get(cluster.platform, "/v1/log/demotions?from=0&wait_ms=1000");
    assertThat(demotions.getAsJsonArray("records").toString()).contains("small@1");
  }

  private static void delayIsToldOnTheStream(Cluster cluster) {
    Executor callers = Executors.newVirtualThreadPerTaskExecutor();
    List<CompletableFuture<WholeReply>> load = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      int entry = i % 2;
      Request request = streamed("hurried", 400);
      load.add(CompletableFuture.supplyAsync(() -> cluster.ask(entry, request), callers));
    }
    List<String> bodies = load.stream().map(f -> f.join().body()).toList();
    List<String> told = bodies.stream().filter(b -> b.startsWith(": {\"delayed_until\"")).toList();
    assertThat(told).isNotEmpty();
    assertThat(told).allMatch(b -> b.contains("data: [DONE]") || b.contains("\"ran\":\"not_run\""));
  }

  private static Request streamed(String workClass, int tokens) {
    Request whole = Cluster.chat(workClass, tokens);
    String body = whole.body().replace("\"messages\"", "\"stream\":true,\"messages\"");
    return Request.post(whole.target(), body).withHeader("Authorization", "Bearer " + Cluster.KEY);
  }

  private static void changeIsInForceThoughTheLogIsSlow(Cluster cluster) {
    cluster.faults(cluster.platform, "{\"logSlowMillis\":900}");
    WholeReply reply =
        cluster.publish(
            0,
            Cluster.configuration(Stage.LIVE).atVersion(1),
            Cluster.configuration(Stage.WITHDRAWN));
    assertThat(reply.status()).as(reply.body()).isEqualTo(200);
  }

  private static void drainHandsOverWhileTheLogIsSlow(Cluster cluster) {
    WholeReply last = cluster.ask(1, Cluster.chat("tag", 3));
    String id = last.headers().first("Request-Id").orElseThrow();
    assertThat(cluster.entries.get(1).terminate()).isZero();
    cluster.faults(cluster.platform, "{}");
    assertThat(cluster.bills().bills()).anyMatch(b -> b.id().equals(id));
  }
}
