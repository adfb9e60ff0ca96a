package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

class ForwardingTest {
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");

  @Example
  void testReplacesReservedHeadersOfTheCaller() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      String response =
          edge.send(
              "GET",
              "/read/x?q=1",
              "a1",
              "X-Hold: 7\r\nX-Tenant: other\r\nKv-From: 1.2.3.4:5/x\r\nX-Custom: kept\r\n");
      assertThat(EdgeFixture.status(response)).isEqualTo(200);
      assertThat(response).contains("seal-of-i-0").endsWith("good");
      Received request = edge.backend(0).received().get(0);
      assertThat(request.line()).isEqualTo("GET /read/x?q=1 HTTP/1.1");
      assertThat(request.header("X-Tenant")).isEqualTo("t");
      assertThat(request.header("X-Hold")).isEmpty();
      assertThat(request.header("Kv-From")).isEmpty();
      assertThat(request.header("Authorization")).isEmpty();
      assertThat(request.header("X-Custom")).isEqualTo("kept");
      assertThat(Integer.parseInt(request.header("X-Deadline-Ms"))).isBetween(1, 2_000);
    }
  }

  @Example
  void testNonIdempotentRequestIsNotRetriedAfterAResetAndIsReportedAsUnknown() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Reset(), r -> GOOD)) {
      int good = 0;
      for (int i = 0; i < 6; i++) {
        int status = EdgeFixture.status(edge.send("POST", "/order/x", "u" + i, ""));
        assertThat(status).isIn(200, 502);
        good += status == 200 ? 1 : 0;
      }
      assertThat(edge.backend(0).ran().size() + edge.backend(1).ran().size()).isEqualTo(6);
      assertThat(edge.backend(1).ran()).hasSize(good);
    }
  }

  @Example
  void testNonIdempotentRequestRejectedByTheBackendIsReportedAsNotRun() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Refuse())) {
      String response = edge.send("POST", "/order/x", "u1", "");
      assertThat(EdgeFixture.status(response)).isEqualTo(503);
      assertThat(response.toLowerCase(Locale.ROOT)).contains("retry-after:");
    }
  }

  @Example
  void testNonIdempotentRequestToASilentBackendIsUnknownAtItsTimeout() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Silent(), r -> GOOD)) {
      for (int i = 0; i < 4; i++) {
        assertThat(EdgeFixture.status(edge.send("POST", "/order/x", "u" + i, ""))).isIn(200, 504);
      }
      assertThat(edge.backend(0).ran().size() + edge.backend(1).ran().size()).isEqualTo(4);
    }
  }

  @Example
  void testIdempotentRequestIsRetriedElsewhereAfterAFailureOrSilence() throws IOException {
    AtomicInteger nextFailure = new AtomicInteger();
    Behaviour[] bad = {
      new Behaviour.Reset(),
      new Behaviour.CutOff("cut off"),
      new Behaviour.Silent(),
      new Behaviour.Answer(500, "bad")
    };
    try (EdgeFixture edge =
        EdgeFixture.start(r -> bad[nextFailure.getAndIncrement() % bad.length], r -> GOOD)) {
      for (int i = 0; i < 8; i++) {
        String response = edge.send("GET", "/read/x", "s" + i, "");
        assertThat(EdgeFixture.status(response)).isEqualTo(200);
        assertThat(response).endsWith("good");
      }
      assertThat(edge.backend(0).ran()).isNotEmpty();
    }
  }

  @Example
  void testDuplicateResponseOnAKeptConnectionIsDropped() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(r -> new Behaviour.AnswerTwice(r.header("x-attempt-id")))) {
      for (int i = 0; i < 10; i++) {
        String response = edge.send("GET", "/read/x", "n" + i, "");
        assertThat(EdgeFixture.status(response)).isEqualTo(200);
        assertThat(response).endsWith("n" + i);
      }
    }
  }

  @Example
  void testResponseWithoutContentLengthIsForwardedInFull() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Unframed("to the end"))) {
      assertThat(edge.send("GET", "/read/x", "f1", "")).endsWith("to the end");
    }
  }

  @Example
  void testStreamBrokenWithinAnEventResumesOnAnotherBackend() throws IOException {
    AtomicInteger starts = new AtomicInteger();
    Behaviour complete = new Behaviour.Stream(6, 0, 100);
    Behaviour broken = new Behaviour.Stream(6, 3, 100);
    try (EdgeFixture edge =
        EdgeFixture.start(
            r -> starts.getAndIncrement() == 0 ? broken : complete,
            r -> starts.getAndIncrement() == 0 ? broken : complete)) {
      String response = edge.send("POST", "/tell/x", "t1", "X-Model: *\r\n");
      StringBuilder expected = new StringBuilder();
      for (int i = 1; i <= 6; i++) {
        expected.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
      }
      assertThat(EdgeFixture.body(response)).isEqualTo(expected.toString());
      assertThat(starts.get()).isEqualTo(2);
    }
  }

  @Example
  void testLowConfidenceResponseIsReplacedByThatOfALargerModel() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(r -> streamOf(r.header("X-Model")), r -> streamOf(r.header("X-Model")))) {
      String response = edge.send("POST", "/tell/x", "t1", "X-Model: *\r\n");
      assertThat(response).contains("piece 9").doesNotContain("piece 10");
    }
  }

  /** The small model sends ten events with confidence 5, the large one nine with confidence 90. */
  private static Behaviour streamOf(String model) {
    return model.equals("l") ? new Behaviour.Stream(9, 0, 90) : new Behaviour.Stream(10, 0, 5);
  }
}
