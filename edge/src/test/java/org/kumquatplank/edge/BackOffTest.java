package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** Backend servers that refuse a request and name a time for which they want nothing more. */
class BackOffTest {
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");
  private static final Pattern RETRY_AFTER = Pattern.compile("(?i)retry-after: ([0-9.]+)");

  private static Behaviour refuse(String seconds) {
    return new Behaviour.RefuseWith("Retry-After: " + seconds + "\r\n");
  }

  private static String send(EdgeFixture edge) {
    try {
      return edge.send("GET", "/read/x", "r" + System.nanoTime(), "");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Guards against requests to a server that asked for none. */
  @Example
  void testServerGetsNothingForTheTimeThatItNamed() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> refuse("60"), r -> GOOD)) {
      edge.await(
          () -> {
            assertThat(EdgeFixture.status(send(edge))).isEqualTo(200);
            return !edge.backend(0).received().isEmpty();
          });
      for (int i = 0; i < 30; i++) {
        assertThat(EdgeFixture.status(send(edge))).isEqualTo(200);
      }
      assertThat(edge.backend(0).received()).hasSize(1);
    }
  }

  @Example
  void testServerIsUsedAgainAfterTheTime() throws IOException {
    AtomicBoolean full = new AtomicBoolean(true);
    try (EdgeFixture edge = EdgeFixture.start(r -> full.get() ? refuse("0.5") : GOOD)) {
      assertThat(EdgeFixture.status(send(edge))).isEqualTo(503);
      full.set(false);
      edge.await(() -> EdgeFixture.status(send(edge)) == 200);
      assertThat(EdgeFixture.status(send(edge))).isEqualTo(200);
    }
  }

  /** Guards against callers that wait in vain, and are told to come back too early. */
  @Example
  void testRequestWithoutAnotherPlaceIsTurnedAwayAtOnce() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> refuse("30"))) {
      assertThat(EdgeFixture.status(send(edge))).isEqualTo(503);
      for (int i = 0; i < 5; i++) {
        String response = send(edge);
        assertThat(EdgeFixture.status(response)).isEqualTo(503);
        assertThat(response).contains("all backend servers ask to wait");
        Matcher matcher = RETRY_AFTER.matcher(response);
        assertThat(matcher.find()).isTrue();
        assertThat(Double.parseDouble(matcher.group(1))).isBetween(15.0, 31.0);
      }
      assertThat(edge.backend(0).received()).hasSize(1);
    }
  }

  @Example
  void testRequestsThatWaitAreTurnedAwayWhenTheLastServerBacksOff() throws Exception {
    AtomicBoolean refusing = new AtomicBoolean();
    try (EdgeFixture edge = EdgeFixture.start(r -> respondWhenRefusing(refusing));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> responses = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        responses.add(callers.submit(() -> send(edge)));
      }
      edge.await(() -> edge.openExchanges() == 12);
      edge.await(() -> edge.backend(0).received().size() == 6);
      refusing.set(true);
      for (Future<String> response : responses) {
        assertThat(EdgeFixture.status(response.get())).isEqualTo(503);
        assertThat(response.get()).doesNotContain("no room in time");
      }
      assertThat(edge.backend(0).received()).hasSize(6);
    }
  }

  private static Behaviour respondWhenRefusing(AtomicBoolean refusing) {
    while (!refusing.get()) {
      Thread.onSpinWait();
    }
    return refuse("30");
  }

  @Example
  void testOddTimesAreIgnored() throws IOException {
    for (String odd : List.of("-5", "0", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT", "")) {
      try (EdgeFixture edge = EdgeFixture.start(r -> refuse(odd))) {
        for (int i = 0; i < 3; i++) {
          assertThat(EdgeFixture.status(send(edge))).isEqualTo(503);
        }
        assertThat(edge.backend(0).received()).as(odd).hasSize(3);
      }
    }
  }
}
