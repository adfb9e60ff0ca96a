package org.kumquatplank.edge.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.kumquatplank.testkit.fleet.FakeStore;

/**
 * A phase of the soak test in which the store is restored after routes were removed: a removed
 * route is served no more, also while the store lacks the removal and where its log has its old
 * length again.
 */
final class RestorePhase {
  private static final int ROUNDS = 3;
  private static final long PROPAGATION_MILLIS = 3_000;
  private static final long LACKING_MILLIS = 1_000;
  private static final long PAUSE_MILLIS = 20;

  private final FakeStore store;
  private final StoreDrill drill;
  private final BiFunction<Integer, List<String>, String> catalogs;
  private final int[] entryPorts;
  private final List<String> violations = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private int version = 1;
  private int requests;

  private RestorePhase(
      FakeStore store,
      StoreDrill drill,
      BiFunction<Integer, List<String>, String> catalogs,
      int[] entryPorts) {
    this.store = store;
    this.drill = drill;
    this.catalogs = catalogs;
    this.entryPorts = entryPorts.clone();
  }

  /**
   * Returns a phase.
   *
   * @param catalogs returns the configuration of a version with more routes, by name
   */
  static RestorePhase create(
      FakeStore store,
      StoreDrill drill,
      BiFunction<Integer, List<String>, String> catalogs,
      int[] entryPorts) {
    return new RestorePhase(store, drill, catalogs, entryPorts);
  }

  /** Returns the violations. */
  List<String> run() throws InterruptedException {
    for (int round = 0; round < ROUNDS; round++) {
      String route = "gone" + round;
      publish(List.of(route, "later"));
      awaitServed(route, true);
      drill.takeCopy();
      publish(List.of("later"));
      awaitServed(route, false);
      Map<String, List<byte[]>> lost = drill.restore();
      if (round == 1) {
        // The second restore within a second; nothing was written in between.
        drill.restore();
      }
      drill.rewriteServers();
      expectNotServed(route);
      if (round < 2) {
        store.rewrite("op", lost);
      }
      // In the last round the log has the length again that it had, with another configuration.
      publish(List.of());
      awaitServed("later", false);
      expectNotServed(route);
    }
    return violations;
  }

  private void publish(List<String> routes) {
    store.put("op", "config", catalogs.apply(++version, routes));
  }

  /** Requires that all instances serve a route, or don't, within the time for a configuration. */
  private void awaitServed(String route, boolean expected) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROPAGATION_MILLIS);
    for (int entry = 0; entry < entryPorts.length; entry++) {
      while (isServed(entry, route) != expected) {
        if (System.nanoTime() - end > 0) {
          violations.add(
              String.format(
                  Locale.ROOT,
                  "entry %d %s %s in version %d, 3 s after it was written",
                  entry,
                  expected ? "does not serve" : "serves",
                  route,
                  version));
          return;
        }
        Thread.sleep(PAUSE_MILLIS);
      }
    }
  }

  private void expectNotServed(String route) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LACKING_MILLIS);
    while (System.nanoTime() - end < 0) {
      for (int entry = 0; entry < entryPorts.length; entry++) {
        if (isServed(entry, route)) {
          violations.add("entry " + entry + " serves " + route + " again after a restore");
          return;
        }
      }
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  private boolean isServed(int entry, String route) throws InterruptedException {
    String id = "s-" + requests++ + "-" + entry;
    URI uri = URI.create("http://127.0.0.1:" + entryPorts[entry] + "/" + route + "/x");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(Duration.ofSeconds(3))
            .header("X-Attempt-Id", id)
            .header("X-Deadline-Ms", "1500")
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
