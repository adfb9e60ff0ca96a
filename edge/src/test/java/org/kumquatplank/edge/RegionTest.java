package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.kumquatplank.edge.PlacementFixture.GOOD;
import static org.kumquatplank.edge.PlacementFixture.after;
import static org.kumquatplank.edge.PlacementFixture.metric;
import static org.kumquatplank.edge.PlacementFixture.received;
import static org.kumquatplank.edge.PlacementFixture.send;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** Requests whose route or client account is bound to regions. */
class RegionTest {
  private static final String KEY = "\"key-1\"";

  @Example
  void testRequestIsSentOnlyToItsRegions() throws IOException {
    try (EdgeFixture edge =
        PlacementFixture.start(
            r -> GOOD, "a", r -> GOOD, "c", e -> e.putCatalog(KEY, "\"far\"", ""))) {
      for (int i = 0; i < 10; i++) {
        assertThat(EdgeFixture.status(send(edge))).isEqualTo(200);
      }
      assertThat(received(edge, 0)).isZero();
      assertThat(received(edge, 1)).isEqualTo(10);
    }
  }

  @Example
  void testRetryDoesNotLeaveTheRegions() throws IOException {
    try (EdgeFixture edge =
        PlacementFixture.start(
            r -> GOOD,
            "a",
            r -> new Behaviour.Reset(),
            "c",
            e -> e.putCatalog(KEY, "", "\"far\""))) {
      assertThat(EdgeFixture.status(send(edge))).isNotEqualTo(200);
      assertThat(received(edge, 0)).isZero();
      assertThat(received(edge, 1)).isEqualTo(1);
    }
  }

  @Example
  void testResumedStreamAndLargerModelDoNotLeaveTheRegions() throws IOException {
    try (EdgeFixture edge =
        PlacementFixture.start(
            r -> new Behaviour.Stream(6, 0, 90),
            "a",
            r ->
                r.header("last-event-id").isEmpty()
                    ? new Behaviour.Stream(6, 3, 10)
                    : new Behaviour.Stream(6, 0, 90),
            "c",
            e -> e.putCatalog(KEY, "\"far\"", ""))) {
      for (int i = 0; i < 4; i++) {
        edge.send("POST", "/tell/x", "s" + i, "X-Model: *\r\n");
      }
      assertThat(received(edge, 0)).isZero();
      assertThat(received(edge, 1)).isGreaterThanOrEqualTo(4);
    }
  }

  /** Truly not run: the caller is told so at once, and no backend server got the request. */
  @Example
  void testRequestWithoutAServerInItsRegionsIsTurnedAwayAtOnce() throws IOException {
    try (EdgeFixture edge =
        PlacementFixture.start(
            r -> GOOD, "a", r -> GOOD, "b", e -> e.putCatalog(KEY, "\"far\"", ""))) {
      long start = System.nanoTime();
      String response = send(edge);
      assertThat(System.nanoTime() - start).isLessThan(700_000_000L);
      assertThat(EdgeFixture.status(response)).isEqualTo(503);
      assertThat(response).contains("no backend server in its regions");
      assertThat(received(edge, 0) + received(edge, 1)).isZero();
      assertThat(metric(edge, "refused_by_region_total")).isEqualTo(1);
    }
  }

  @Example
  void testRegionsOfTheRouteAndOfTheAccountBothBind() throws IOException {
    try (EdgeFixture edge =
        PlacementFixture.start(
            r -> GOOD, "a", r -> GOOD, "c", e -> e.putCatalog(KEY, "\"far\"", "\"r\""))) {
      assertThat(EdgeFixture.status(send(edge))).isEqualTo(503);
      assertThat(received(edge, 0) + received(edge, 1)).isZero();
    }
  }

  /** Guards against regions that a request keeps from its arrival while it waits. */
  @Example
  void testNewRegionsHoldForRequestsThatWait() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (EdgeFixture edge =
            PlacementFixture.start(
                r -> after(release, GOOD),
                "a",
                r -> GOOD,
                "c",
                e -> e.putCatalog(KEY, "\"r\"", ""));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> responses = new ArrayList<>();
      for (int i = 0; i < 9; i++) {
        responses.add(callers.submit(() -> send(edge)));
      }
      edge.await(() -> edge.openExchanges() == 9 && received(edge, 0) == 6);
      edge.putCatalog(KEY, "\"far\"", "");
      edge.await(() -> received(edge, 1) == 3);
      release.countDown();
      for (Future<String> response : responses) {
        assertThat(EdgeFixture.status(response.get())).isEqualTo(200);
      }
      assertThat(received(edge, 0)).isEqualTo(6);
    }
  }

  @Example
  void testRequestThatWaitsIsTurnedAwayWhenNoRegionIsLeft() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (EdgeFixture edge = EdgeFixture.start(r -> after(release, GOOD));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> responses = new ArrayList<>();
      for (int i = 0; i < 9; i++) {
        responses.add(callers.submit(() -> send(edge)));
      }
      edge.await(() -> edge.openExchanges() == 9 && received(edge, 0) == 6);
      edge.putCatalog(KEY, "\"far\"", "");
      edge.await(() -> edge.openExchanges() == 6);
      release.countDown();
      int good = 0;
      for (Future<String> response : responses) {
        boolean isGood = EdgeFixture.status(response.get()) == 200;
        good += isGood ? 1 : 0;
        assertThat(isGood || response.get().contains("no backend server in its regions")).isTrue();
      }
      assertThat(good).isEqualTo(6);
      assertThat(received(edge, 0)).isEqualTo(6);
      assertThat(metric(edge, "refused_by_region_total")).isEqualTo(3);
    }
  }
}
