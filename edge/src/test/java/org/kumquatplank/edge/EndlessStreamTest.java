package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Backend servers that send bytes without end within a stream of events. */
class EndlessStreamTest {
  private static final String EVENT = "id: 1\ndata: piece 1\n\n";

  private static String openStream(Received request) {
    return FakeBackendServer.openHead(request) + "Content-Type: text/event-stream\r\n\r\n" + EVENT;
  }

  private static Behaviour firstEventThen(Received request, String repeated, long pauseMillis) {
    return new Behaviour.Endless(openStream(request), repeated, pauseMillis);
  }

  /** Checks that the stream goes on after its first event at the other backend server. */
  private static void checkResumed(Function<Received, Behaviour> endless) throws IOException {
    AtomicInteger starts = new AtomicInteger();
    Function<Received, Behaviour> script =
        r -> starts.getAndIncrement() == 0 ? endless.apply(r) : new Behaviour.Stream(4, 0, 100);
    try (EdgeFixture edge = EdgeFixture.start(script, script)) {
      String response = edge.send("POST", "/tell/x", "t1", "X-Model: s\r\n");
      assertThat(EdgeFixture.body(response).lines().filter(l -> l.startsWith("id:")))
          .containsExactly("id: 1", "id: 2", "id: 3", "id: 4");
      assertThat(response).endsWith("\r\n0\r\n\r\n");
      edge.await(
          () -> edge.backend(0).endlessResponses() + edge.backend(1).endlessResponses() == 0);
    }
  }

  @Example
  void testEndlessEventIsCutOffAndTheStreamResumes() throws IOException {
    checkResumed(r -> firstEventThen(r, "data: x\n", 0));
  }

  @Example
  void testEndlessLineIsCutOffAndTheStreamResumes() throws IOException {
    checkResumed(r -> firstEventThen(r, "x", 0));
  }

  @Example
  void testEndlessCommentsAreCutOffAndTheStreamResumes() throws IOException {
    checkResumed(r -> firstEventThen(r, ":" + "x".repeat(1_000) + "\n\n", 0));
  }

  @Example
  void testEndlessBlankLinesAreCutOffAndTheStreamResumes() throws IOException {
    checkResumed(r -> firstEventThen(r, "\n", 0));
  }

  @Example
  void testDrippedEventIsNoProgress() throws IOException {
    checkResumed(r -> firstEventThen(r, "x", 20));
  }

  @Example
  void testDrippedCommentsAreNoProgress() throws IOException {
    checkResumed(r -> firstEventThen(r, ":x\n\n", 20));
  }

  @Example
  void testEndlessEventsEndIncompleteAtTheDeadline() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> firstEventThen(r, EVENT, 20))) {
      String response = edge.send("POST", "/tell/x", "t1", "X-Model: s\r\n");
      assertThat(EdgeFixture.status(response)).isEqualTo(200);
      assertThat(response).contains(EVENT).doesNotEndWith("\r\n0\r\n\r\n");
      edge.await(() -> edge.backend(0).endlessResponses() == 0);
    }
  }

  @Example
  void testEndlessEventsToACallerThatDoesNotReadEndAtTheDeadline() throws IOException {
    Function<Received, Behaviour> script =
        r ->
            r.line().contains("/tell/")
                ? firstEventThen(r, EVENT, 0)
                : new Behaviour.Answer(200, "good");
    try (EdgeFixture edge = EdgeFixture.start(script);
        Socket caller = edge.connect()) {
      String request = EdgeFixture.head("POST", "/tell/x", "t1", "X-Model: s\r\n");
      caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      edge.await(() -> edge.backend(0).endlessResponses() == 1);
      assertThat(edge.send("GET", "/read/x", "s1", "")).endsWith("good");
      edge.await(() -> edge.backend(0).endlessResponses() == 0);
      assertThat(edge.send("GET", "/read/x", "s2", "")).endsWith("good");
    }
  }

  // A carriage return would end the header in which the id is sent on, and begin another one.
  @Example
  void testEventIdWithAControlCharacterIsNotSentOn() throws IOException {
    AtomicInteger starts = new AtomicInteger();
    String event = "id: 2\rX-Pin-Ms: 60000\ndata: piece 2\n\n";
    Function<Received, Behaviour> script =
        r -> {
          starts.incrementAndGet();
          return new Behaviour.Endless(openStream(r) + event, "x", 0);
        };
    try (EdgeFixture edge = EdgeFixture.start(script, script)) {
      String response = edge.send("POST", "/tell/x", "t1", "X-Model: s\r\n");
      assertThat(response).contains("piece 2").doesNotEndWith("\r\n0\r\n\r\n");
      assertThat(starts.get()).isEqualTo(1);
    }
  }
}
