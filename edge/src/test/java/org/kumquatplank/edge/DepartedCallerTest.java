package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** Callers that leave, and deadlines that pass, while the instance stands still or waits. */
class DepartedCallerTest {
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");
  private static final long FREEZE_MILLIS = 900;

  /** Short enough that nothing is held back after it. */
  private static final long SHORT_FREEZE_MILLIS = 250;

  private static Socket ask(EdgeFixture edge, String id) throws IOException {
    return ask(edge, id, 5_000);
  }

  private static Socket ask(EdgeFixture edge, String id, long millis) throws IOException {
    Socket caller = edge.connect();
    String head =
        EdgeFixture.head("GET", "/read/x", id, "")
            .replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: " + millis);
    caller.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
    caller.getOutputStream().flush();
    return caller;
  }

  private static Behaviour respondAfter(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return GOOD;
  }

  private static void awaitIdle(EdgeFixture edge) throws IOException {
    assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "last", ""))).isEqualTo(200);
    edge.await(() -> edge.openExchanges() == 0);
  }

  private static List<String> received(EdgeFixture edge) {
    return edge.backend(0).received().stream().map(r -> r.header("x-attempt-id")).toList();
  }

  /** Guards against requests that are read after a stop, before the end of their connection. */
  @Example
  void testRequestsReadAfterTheirCallersLeftAreNotSent() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      awaitIdle(edge);
      edge.freeze(FREEZE_MILLIS);
      for (int i = 0; i < 40; i++) {
        ask(edge, "left-" + i).close();
      }
      awaitIdle(edge);
      assertThat(received(edge)).containsOnly("last");
    }
  }

  /** Guards against a response that is read first after a stop and starts what waits. */
  @Example
  void testQueuedRequestsWhoseCallersLeftDuringAStopAreNotSent() throws IOException {
    CountDownLatch respond = new CountDownLatch(1);
    try (EdgeFixture edge = EdgeFixture.start(r -> respondAfter(respond))) {
      List<Socket> callers = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        callers.add(ask(edge, "runs"));
      }
      edge.await(() -> edge.backend(0).received().size() == 6);
      List<Socket> leavers = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        leavers.add(ask(edge, "left-" + i));
      }
      edge.await(() -> edge.openExchanges() == 26);
      edge.freeze(FREEZE_MILLIS);
      respond.countDown();
      for (Socket leaver : leavers) {
        leaver.close();
      }
      awaitIdle(edge);
      assertThat(received(edge)).containsOnly("runs", "last");
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  /** Guards against a failed response that is read after a stop and sent once more. */
  @Example
  void testRequestIsNotRepeatedAfterItsCallerLeftDuringAStop() throws IOException {
    CountDownLatch respond = new CountDownLatch(1);
    AtomicBoolean fails = new AtomicBoolean(true);
    try (EdgeFixture edge =
        EdgeFixture.start(
            r -> fails.get() ? failAfter(respond) : GOOD,
            r -> fails.get() ? failAfter(respond) : GOOD)) {
      List<Socket> leavers = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        leavers.add(ask(edge, "left-" + i));
      }
      edge.await(() -> edge.openExchanges() == 8 && sends(edge) == 8);
      edge.freeze(FREEZE_MILLIS);
      respond.countDown();
      for (Socket leaver : leavers) {
        leaver.close();
      }
      edge.await(() -> edge.openExchanges() == 0);
      fails.set(false);
      awaitIdle(edge);
      assertThat(sends(edge)).isEqualTo(9);
    }
  }

  private static Behaviour failAfter(CountDownLatch latch) {
    respondAfter(latch);
    return new Behaviour.Answer(500, "bad");
  }

  private static int sends(EdgeFixture edge) {
    return edge.backend(0).received().size() + edge.backend(1).received().size();
  }

  /** Guards against a request that is started by a change after its deadline, ahead of a tick. */
  @Example
  void testQueuedRequestIsNotSentAfterItsDeadline() throws IOException {
    CountDownLatch respond = new CountDownLatch(1);
    try (EdgeFixture edge = EdgeFixture.start(r -> respondAfter(respond))) {
      List<Socket> callers = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        callers.add(ask(edge, "runs"));
      }
      edge.await(() -> edge.backend(0).received().size() == 6);
      for (int i = 0; i < 6; i++) {
        callers.add(ask(edge, "late", 200));
      }
      edge.await(() -> edge.openExchanges() == 12);
      edge.freeze(SHORT_FREEZE_MILLIS);
      respond.countDown();
      awaitIdle(edge);
      assertThat(received(edge)).containsOnly("runs", "last");
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  /** Guards against requests that are held for ever while the instance keeps standing still. */
  @Example
  void testRequestsAreStillServedWhileTheInstanceStandsStillAgainAndAgain() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      for (int i = 0; i < 8; i++) {
        edge.freeze(400);
      }
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "slow", ""))).isEqualTo(200);
    }
  }
}
