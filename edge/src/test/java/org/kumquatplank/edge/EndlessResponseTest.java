package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Backend servers that send bytes without end where a response or a part of it is expected. */
class EndlessResponseTest {
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");
  private static final String FOREIGN =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private static Behaviour flood(String start, String repeated) {
    return new Behaviour.Endless(start, repeated, 0);
  }

  /**
   * Checks that flooded requests end before their deadline, as unknown if they can't be repeated,
   * that the connections are closed, and that the other backend server serves the rest.
   */
  private static void checkFlood(Function<Received, Behaviour> flood) throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(flood, r -> GOOD)) {
      for (int i = 0; i < 3; i++) {
        assertThat(edge.send("GET", "/read/x", "s" + i, "")).endsWith("good");
        assertThat(EdgeFixture.status(edge.send("POST", "/order/x", "u" + i, ""))).isIn(200, 502);
      }
      assertThat(edge.backend(0).ran()).isNotEmpty();
      edge.await(() -> edge.backend(0).endlessResponses() == 0);
    }
    try (EdgeFixture edge = EdgeFixture.start(flood)) {
      assertThat(EdgeFixture.status(edge.send("POST", "/order/x", "u", ""))).isEqualTo(502);
      edge.await(() -> edge.backend(0).endlessResponses() == 0);
      assertThat(edge.readiness()).isEqualTo(200);
    }
  }

  @Example
  void testEndlessStatusLineIsCutOff() throws IOException {
    checkFlood(r -> flood("HTTP/1.1 200 ", "x"));
  }

  @Example
  void testEndlessBlankBeforeTheStatusLineIsCutOff() throws IOException {
    checkFlood(r -> flood("", "\r\n"));
  }

  @Example
  void testEndlessBytesThatAreNoHttpAreCutOff() throws IOException {
    checkFlood(r -> flood("", "\u0007garbage "));
  }

  @Example
  void testEndlessHeaderLineIsCutOff() throws IOException {
    checkFlood(r -> flood(FakeBackendServer.openHead(r) + "X-Long: ", "x"));
  }

  @Example
  void testEndlessHeaderLinesAreCutOff() throws IOException {
    checkFlood(r -> flood(FakeBackendServer.openHead(r), "X-Many: x\r\n"));
  }

  @Example
  void testEndlessInformationalResponsesAreCutOff() throws IOException {
    checkFlood(r -> flood("", "HTTP/1.1 102 Processing\r\n\r\n"));
  }

  @Example
  void testEndlessBytesAfterAProtocolSwitchAreCutOff() throws IOException {
    checkFlood(r -> flood("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "x"));
  }

  @Example
  void testEndlessResponsesToOtherRequestsAreCutOff() throws IOException {
    checkFlood(r -> flood("", FOREIGN + "Content-Length: 2\r\n\r\nno"));
  }

  @Example
  void testEndlessBodyOfAResponseToAnotherRequestIsCutOff() throws IOException {
    checkFlood(r -> flood(FOREIGN + "\r\n", "x"));
  }

  @Example
  void testEndlessBodyWithoutLengthIsCutOff() throws IOException {
    checkFlood(r -> flood(FakeBackendServer.openHead(r) + "\r\n", "x"));
  }

  @Example
  void testEndlessBodyWithAHugeLengthIsCutOff() throws IOException {
    String length = "Content-Length: 9000000000000000000\r\n\r\n";
    checkFlood(r -> flood(FakeBackendServer.openHead(r) + length, "x"));
  }

  @Example
  void testEndlessChunkedBodyIsCutOff() throws IOException {
    checkFlood(
        r ->
            flood(FakeBackendServer.openHead(r) + CHUNKED, "400\r\n" + "x".repeat(1_024) + "\r\n"));
  }

  @Example
  void testEndlessTinyChunksAreCutOff() throws IOException {
    checkFlood(r -> flood(FakeBackendServer.openHead(r) + CHUNKED, "1\r\nx\r\n"));
  }

  @Example
  void testEndlessChunkExtensionIsCutOff() throws IOException {
    checkFlood(r -> flood(FakeBackendServer.openHead(r) + CHUNKED + "1;", "x"));
  }

  @Example
  void testEndlessLongChunkExtensionsAreCutOff() throws IOException {
    checkFlood(
        r ->
            flood(FakeBackendServer.openHead(r) + CHUNKED, "1;" + "x".repeat(4_000) + "\r\nx\r\n"));
  }

  @Example
  void testEndlessBytesInPlaceOfTheEndOfAChunkAreCutOff() throws IOException {
    checkFlood(r -> flood(FakeBackendServer.openHead(r) + CHUNKED + "1\r\nx", "x"));
  }

  @Example
  void testEndlessTrailersAreCutOff() throws IOException {
    checkFlood(r -> flood(FakeBackendServer.openHead(r) + CHUNKED + "0\r\n", "X-Many: x\r\n"));
  }

  @Example
  void testEndlessBodyOfAnErrorResponseIsCutOff() throws IOException {
    checkFlood(
        r -> flood(FakeBackendServer.openHead(r).replace("200 OK", "500 Failed") + "\r\n", "x"));
  }

  @Example
  void testEndlessBytesAfterACompleteResponseCloseTheConnection() throws IOException {
    String complete = "Content-Length: 4\r\n\r\ngood";
    for (long pauseMillis : new long[] {0, 20}) {
      try (EdgeFixture edge =
          EdgeFixture.start(
              r ->
                  new Behaviour.Endless(
                      FakeBackendServer.openHead(r) + complete, "x\r\n", pauseMillis))) {
        for (int i = 0; i < 5; i++) {
          assertThat(edge.send("POST", "/order/x", "u" + i, "")).endsWith("good");
          edge.await(() -> edge.backend(0).endlessResponses() == 0);
        }
      }
    }
  }

  /** Checks that a request that may be repeated is served elsewhere, and others end as unknown. */
  private static void checkDrip(Function<Received, Behaviour> drip) throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(drip, r -> GOOD)) {
      for (int i = 0; i < 3; i++) {
        assertThat(edge.send("GET", "/read/x", "s" + i, "")).endsWith("good");
      }
      assertThat(edge.backend(0).ran()).isNotEmpty();
      edge.await(() -> edge.backend(0).endlessResponses() == 0);
    }
    try (EdgeFixture edge = EdgeFixture.start(drip)) {
      assertThat(EdgeFixture.status(edge.send("POST", "/order/x", "u", ""))).isIn(502, 504);
      edge.await(() -> edge.backend(0).endlessResponses() == 0);
    }
  }

  @Example
  void testDrippedHeadIsNoProgress() throws IOException {
    checkDrip(r -> new Behaviour.Endless(FakeBackendServer.openHead(r) + "X-Long: ", "x", 20));
  }

  @Example
  void testDrippedInformationalResponsesAreNoProgress() throws IOException {
    checkDrip(r -> new Behaviour.Endless("", "HTTP/1.1 102 Processing\r\n\r\n", 20));
  }

  @Example
  void testDrippedResponseToAnotherRequestIsNoProgress() throws IOException {
    checkDrip(r -> new Behaviour.Endless(FOREIGN + "\r\n", "x", 20));
  }

  @Example
  void testDrippedBodyEndsAtTheDeadlineAsUnknown() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(
            r -> new Behaviour.Endless(FakeBackendServer.openHead(r) + "\r\n", "x", 20))) {
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "s", ""))).isEqualTo(504);
      assertThat(EdgeFixture.status(edge.send("POST", "/order/x", "u", ""))).isEqualTo(504);
      edge.await(() -> edge.backend(0).endlessResponses() == 0);
    }
  }

  // Together such bodies are larger than the memory of an instance; each for itself is allowed.
  @Example
  void testLargeUnfinishedBodiesOfManyRequestsAreCutOff() throws Exception {
    String large = "x".repeat(6 * 1024 * 1024);
    Function<Received, Behaviour> unfinished =
        r -> new Behaviour.Endless(FakeBackendServer.openHead(r) + "\r\n" + large, "x", 20);
    try (EdgeFixture edge = EdgeFixture.start(unfinished, unfinished, unfinished, unfinished);
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> responses = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        String id = "u" + i;
        responses.add(callers.submit(() -> edge.send("POST", "/order/x", id, "")));
      }
      List<Integer> statuses = new ArrayList<>();
      for (Future<String> response : responses) {
        statuses.add(EdgeFixture.status(response.get()));
      }
      assertThat(statuses).contains(502).allMatch(s -> s == 502 || s == 504);
    }
  }
}
