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
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Request;

/** Model work through real processes: whole answers, versions, sessions, bills, shutdown. */
class ServingProcessTest {
  private static final String NO_FAULT = "{}";

  private static String text(WholeReply reply) {
    return JsonParser.parseString(reply.body())
        .getAsJsonObject()
        .getAsJsonArray("choices")
        .get(0)
        .getAsJsonObject()
        .getAsJsonObject("message")
        .get("content")
        .getAsString();
  }

  private static void assertWhole(WholeReply reply, int tokens) {
    assertThat(reply.status()).as(reply.body()).isEqualTo(200);
    String[] words = text(reply).split(" ", -1);
    assertThat(words).hasSize(tokens + 1);
    assertThat(words[tokens - 1]).isEqualTo("word" + (tokens - 1));
  }

  @Example
  void testAnswersStayWholeAndVersionsAreKept() {
    try (Cluster cluster = new Cluster(3)) {
      brokenStreamGoesOnElsewhere(cluster);
      crossedAnswerReachesNobody(cluster);
      silentEngineIsLeft(cluster);
      sessionKeepsItsVersionAtEveryInstance(cluster);
      accountRunsOnlyOnWhatItMayUse(cluster);
      racingOperatorsOneWins(cluster);
      withdrawnVersionGetsNothing(cluster);
      frozenInstanceDoesNotUseTheWithdrawnVersion(cluster);
      billSurvivesItsInstanceDuringAnOutage(cluster);
      replacedInstanceCatchesUp(cluster);
      shutdownCutsOffNothing(cluster);
      leavingEngineGetsNothing(cluster);
    }
  }

  private static void brokenStreamGoesOnElsewhere(Cluster cluster) {
    cluster.faults(cluster.engines.get(0), "{\"breakAfterTokens\":4}");
    for (int i = 0; i < 4; i++) {
      assertWhole(cluster.ask(i % 3, Cluster.chat("retelling", 30)), 30);
    }
    cluster.faults(cluster.engines.get(0), NO_FAULT);
  }

  private static void crossedAnswerReachesNobody(Cluster cluster) {
    cluster.faults(cluster.engines.get(0), "{\"crossed\":true}");
    for (int i = 0; i < 4; i++) {
      assertWhole(cluster.ask(i % 3, Cluster.chat("tag", 5)), 5);
    }
    cluster.faults(cluster.engines.get(0), NO_FAULT);
  }

  private static void silentEngineIsLeft(Cluster cluster) {
    cluster.faults(cluster.engines.get(1), "{\"silent\":true}");
    for (int i = 0; i < 3; i++) {
      assertWhole(cluster.ask(i, Cluster.chat("tag", 5)), 5);
    }
    cluster.faults(cluster.engines.get(1), NO_FAULT);
  }

  private static void sessionKeepsItsVersionAtEveryInstance(Cluster cluster) {
    WholeReply first =
        cluster.ask(0, Cluster.chat("retelling", 5).withHeader("Session-Token", "new"));
    String version = first.headers().first("Model-Version").orElseThrow();
    String token = first.headers().first("Session-Token").orElseThrow();
    for (int i = 0; i < 9; i++) {
      WholeReply next =
          cluster.ask(i % 3, Cluster.chat("retelling", 5).withHeader("Session-Token", token));
      assertThat(next.headers().first("Model-Version")).contains(version);
    }
  }

  private static void accountRunsOnlyOnWhatItMayUse(Cluster cluster) {
    for (int i = 0; i < 6; i++) {
      Request own = Cluster.chat("tag", 3);
      Request request =
          Request.post(own.target(), own.body())
              .withHeader("Authorization", "Bearer " + Cluster.OTHER_KEY);
      assertThat(cluster.ask(i % 3, request).headers().first("Model-Version")).contains("small@1");
    }
  }

  private static Configuration current(Cluster cluster, Stage large) {
    long version = cluster.status(0).get("config_version").getAsLong();
    return Cluster.configuration(large).atVersion(version);
  }

  private static void racingOperatorsOneWins(Cluster cluster) {
    Configuration base = current(cluster, Stage.LIVE);
    Configuration changed = Cluster.configuration(Stage.TRIAL);
    List<CompletableFuture<WholeReply>> racing = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int entry = i;
      racing.add(CompletableFuture.supplyAsync(() -> cluster.publish(entry, base, changed)));
    }
    List<Integer> statuses = racing.stream().map(f -> f.join().status()).sorted().toList();
    assertThat(statuses).containsExactly(200, 409, 409);
    WholeReply back =
        cluster.publish(0, current(cluster, Stage.TRIAL), Cluster.configuration(Stage.LIVE));
    assertThat(back.status()).isEqualTo(200);
  }

  private static void withdrawnVersionGetsNothing(Cluster cluster) {
    List<CompletableFuture<Void>> load = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int entry = i;
      load.add(
          CompletableFuture.runAsync(
              () -> {
                for (int n = 0; n < 40; n++) {
                  cluster.ask(entry, Cluster.chat("retelling", 3));
                }
              }));
    }
    Cluster.sleep(300);
    WholeReply reply =
        cluster.publish(0, current(cluster, Stage.LIVE), Cluster.configuration(Stage.WITHDRAWN));
    long inForce = System.currentTimeMillis();
    assertThat(reply.status()).isEqualTo(200);
    load.forEach(CompletableFuture::join);
    assertThat(cluster.served())
        .noneMatch(s -> s.version().equals("large@1") && s.at_millis() > inForce);
    cluster.publish(0, current(cluster, Stage.WITHDRAWN), Cluster.configuration(Stage.LIVE));
  }

  private static void frozenInstanceDoesNotUseTheWithdrawnVersion(Cluster cluster) {
    cluster.entries.get(1).freeze();
    CompletableFuture<WholeReply> published =
        CompletableFuture.supplyAsync(
            () ->
                cluster.publish(
                    0, current(cluster, Stage.LIVE), Cluster.configuration(Stage.WITHDRAWN)));
    Cluster.sleep(4_000);
    long withdrawn = System.currentTimeMillis();
    cluster.entries.get(1).resume();
    for (int i = 0; i < 10; i++) {
      cluster.ask(1, Cluster.chat("retelling", 3));
    }
    published.join();
    assertThat(cluster.served())
        .noneMatch(s -> s.version().equals("large@1") && s.at_millis() >= withdrawn);
    cluster.publish(0, current(cluster, Stage.WITHDRAWN), Cluster.configuration(Stage.LIVE));
  }

  private static void billSurvivesItsInstanceDuringAnOutage(Cluster cluster) {
    cluster.faults(cluster.platform, "{\"logDown\":true}");
    WholeReply reply = cluster.ask(2, Cluster.chat("tag", 4));
    String id = reply.headers().first("Request-Id").orElseThrow();
    cluster.entries.get(2).kill();
    cluster.faults(cluster.platform, NO_FAULT);
    Cluster.await("the bill is in the log", () -> isBilled(cluster, id));
  }

  private static boolean isBilled(Cluster cluster, String id) {
    return cluster.bills().bills().stream()
        .anyMatch(b -> b.id().equals(id) && b.ending() == Bill.Ending.WHOLE);
  }

  private static void replacedInstanceCatchesUp(Cluster cluster) {
    long version = cluster.status(0).get("config_version").getAsLong();
    cluster.addEntry();
    int added = cluster.entries.size() - 1;
    Cluster.await(
        "the new instance serves",
        () ->
            cluster.status(added).get("config_version").getAsLong() == version
                && cluster.status(added).get("fresh").getAsBoolean());
    assertWhole(cluster.ask(added, Cluster.chat("tag", 3)), 3);
  }

  private static void shutdownCutsOffNothing(Cluster cluster) {
    List<CompletableFuture<WholeReply>> open = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      open.add(CompletableFuture.supplyAsync(() -> cluster.ask(1, Cluster.chat("retelling", 300))));
    }
    Cluster.sleep(300);
    int exit = cluster.entries.get(1).terminate();
    open.forEach(reply -> assertWhole(reply.join(), 300));
    assertThat(exit).isZero();
    for (CompletableFuture<WholeReply> reply : open) {
      String id = reply.join().headers().first("Request-Id").orElseThrow();
      assertThat(isBilled(cluster, id)).isTrue();
    }
  }

  private static void leavingEngineGetsNothing(Cluster cluster) {
    cluster.faults(cluster.engines.get(0), "{\"leaving\":true}");
    Cluster.sleep(3_500);
    long left = System.currentTimeMillis();
    for (int i = 0; i < 6; i++) {
      assertWhole(cluster.ask(0, Cluster.chat("tag", 3)), 3);
    }
    var late =
        cluster.get(cluster.engines.get(0), "/stats").getAsJsonArray("served").asList().stream()
            .filter(s -> s.getAsJsonObject().get("at_millis").getAsLong() > left)
            .toList();
    assertThat(late).isEmpty();
  }
}
