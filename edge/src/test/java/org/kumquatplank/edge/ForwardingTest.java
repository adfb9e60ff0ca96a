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
  void testForwardsWithTheHeadersOfTheRouterAlone() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      String answer =
          edge.send(
              "GET",
              "/read/x?q=1",
              "a1",
              "X-Hold: 7\r\nX-Tenant: other\r\nKv-From: 1.2.3.4:5/x\r\nX-Custom: kept\r\n");
      assertThat(EdgeFixture.status(answer)).isEqualTo(200);
      assertThat(answer).contains("seal-of-i-0").endsWith("good");
      Received request = edge.replica(0).received().get(0);
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
  void testUnsafeRequestWhoseReplicaResetsRunsOnceAndIsSaidToBeUnknown() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Reset(), r -> GOOD)) {
      int good = 0;
      for (int i = 0; i < 6; i++) {
        int status = EdgeFixture.status(edge.send("POST", "/order/x", "u" + i, ""));
        assertThat(status).isIn(200, 502);
        good += status == 200 ? 1 : 0;
      }
      assertThat(edge.replica(0).ran().size() + edge.replica(1).ran().size()).isEqualTo(6);
      assertThat(edge.replica(1).ran()).hasSize(good);
    }
  }

  @Example
  void testUnsafeRequestThatWasRefusedUnrunIsRefusedAsNotRun() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Refuse())) {
      String answer = edge.send("POST", "/order/x", "u1", "");
      assertThat(EdgeFixture.status(answer)).isEqualTo(503);
      assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after:");
    }
  }

  @Example
  void testUnsafeRequestWhoseReplicaIsSilentIsUnknownAtItsTimeout() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Silent(), r -> GOOD)) {
      for (int i = 0; i < 4; i++) {
        assertThat(EdgeFixture.status(edge.send("POST", "/order/x", "u" + i, ""))).isIn(200, 504);
      }
      assertThat(edge.replica(0).ran().size() + edge.replica(1).ran().size()).isEqualTo(4);
    }
  }

  @Example
  void testSafeRequestGoesElsewhereAfterAFailureOrSilence() throws IOException {
    AtomicInteger turn = new AtomicInteger();
    Behaviour[] bad = {
      new Behaviour.Reset(),
      new Behaviour.CutOff("cut off"),
      new Behaviour.Silent(),
      new Behaviour.Answer(500, "bad")
    };
    try (EdgeFixture edge =
        EdgeFixture.start(r -> bad[turn.getAndIncrement() % bad.length], r -> GOOD)) {
      for (int i = 0; i < 8; i++) {
        String answer = edge.send("GET", "/read/x", "s" + i, "");
        assertThat(EdgeFixture.status(answer)).isEqualTo(200);
        assertThat(answer).endsWith("good");
      }
      assertThat(edge.replica(0).ran()).isNotEmpty();
    }
  }

  @Example
  void testSecondAnswerOnAKeptConnectionReachesNobody() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(r -> new Behaviour.AnswerTwice(r.header("x-attempt-id")))) {
      for (int i = 0; i < 10; i++) {
        String answer = edge.send("GET", "/read/x", "n" + i, "");
        assertThat(EdgeFixture.status(answer)).isEqualTo(200);
        assertThat(answer).endsWith("n" + i);
      }
    }
  }

  @Example
  void testAnswerWithoutALengthIsPassedOnWhole() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Unframed("to the end"))) {
      assertThat(edge.send("GET", "/read/x", "f1", "")).endsWith("to the end");
    }
  }

  @Example
  void testStreamThatBreaksWithinAnEventGoesOnElsewhere() throws IOException {
    AtomicInteger starts = new AtomicInteger();
    Behaviour whole = new Behaviour.Stream(6, 0, 100);
    Behaviour broken = new Behaviour.Stream(6, 3, 100);
    try (EdgeFixture edge =
        EdgeFixture.start(
            r -> starts.getAndIncrement() == 0 ? broken : whole,
            r -> starts.getAndIncrement() == 0 ? broken : whole)) {
      String answer = edge.send("POST", "/tell/x", "t1", "X-Model: *\r\n");
      StringBuilder wanted = new StringBuilder();
      for (int i = 1; i <= 6; i++) {
        wanted.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
      }
      assertThat(EdgeFixture.body(answer)).isEqualTo(wanted.toString());
      assertThat(starts.get()).isEqualTo(2);
    }
  }

  @Example
  void testDoubtfulAnswerIsDroppedAndALargerModelAsked() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(r -> answerOf(r.header("X-Model")), r -> answerOf(r.header("X-Model")))) {
      String answer = edge.send("POST", "/tell/x", "t1", "X-Model: *\r\n");
      assertThat(answer).contains("piece 9").doesNotContain("piece 10");
    }
  }

  /** The small model doubts its answer of ten events, the large one gives nine. */
  private static Behaviour answerOf(String model) {
    return model.equals("l") ? new Behaviour.Stream(9, 0, 90) : new Behaviour.Stream(10, 0, 5);
  }
}
