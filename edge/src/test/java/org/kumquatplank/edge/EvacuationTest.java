package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.kumquatplank.edge.PlacementFixture.GOOD;
import static org.kumquatplank.edge.PlacementFixture.after;
import static org.kumquatplank.edge.PlacementFixture.metric;
import static org.kumquatplank.edge.PlacementFixture.received;
import static org.kumquatplank.edge.PlacementFixture.send;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.RelayedRecord;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeStore;

/** Failure domains that the operator evacuates and takes back. */
class EvacuationTest {
  private static final String EVACUATE_A = "evacuate/a";

  private static void evacuate(EdgeFixture edge, String domain) {
    edge.store().put("op", "evacuate/" + domain, "{}");
  }

  private static void awaitEvacuated(EdgeFixture edge, int domains) {
    edge.await(() -> metric(edge, "evacuated_domains") == domains);
  }

  private static void assertNothingIsSentTo(EdgeFixture edge, int backend) {
    int before = received(edge, backend);
    for (int i = 0; i < 10; i++) {
      assertThat(EdgeFixture.status(send(edge))).isEqualTo(200);
    }
    assertThat(received(edge, backend)).isEqualTo(before);
  }

  @Example
  void testNothingIsSentToAnEvacuatedFailureDomainUntilItIsTakenBack() throws IOException {
    try (EdgeFixture edge = PlacementFixture.start(r -> GOOD, "a", r -> GOOD, "b", e -> {})) {
      edge.await(() -> EdgeFixture.status(send(edge)) == 200 && received(edge, 0) > 0);
      evacuate(edge, "a");
      awaitEvacuated(edge, 1);
      assertNothingIsSentTo(edge, 0);
      int before = received(edge, 0);
      edge.store().drop("op", EVACUATE_A);
      awaitEvacuated(edge, 0);
      edge.await(() -> EdgeFixture.status(send(edge)) == 200 && received(edge, 0) > before);
    }
  }

  /** Open calls are left to finish; requests that wait have nowhere to go. */
  @Example
  void testQueuedRequestsAreTurnedAwayAndOpenOnesFinish() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (EdgeFixture edge = EdgeFixture.start(r -> after(release, GOOD));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> responses = new ArrayList<>();
      for (int i = 0; i < 9; i++) {
        responses.add(callers.submit(() -> send(edge)));
      }
      edge.await(() -> edge.openExchanges() == 9 && received(edge, 0) == 6);
      evacuate(edge, "a");
      edge.await(() -> edge.openExchanges() == 6);
      release.countDown();
      int good = 0;
      for (Future<String> response : responses) {
        boolean isGood = EdgeFixture.status(response.get()) == 200;
        good += isGood ? 1 : 0;
        assertThat(isGood || response.get().contains("are evacuated")).isTrue();
      }
      assertThat(good).isEqualTo(6);
      assertThat(received(edge, 0)).isEqualTo(6);
      assertThat(metric(edge, "refused_by_evacuation_total")).isEqualTo(3);
    }
  }

  @Example
  void testQueuedRequestGoesToAnotherFailureDomain() throws Exception {
    CountDownLatch releaseA = new CountDownLatch(1);
    CountDownLatch releaseB = new CountDownLatch(1);
    try (EdgeFixture edge =
            PlacementFixture.start(
                r -> after(releaseA, GOOD), "a", r -> after(releaseB, GOOD), "b", e -> {});
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> responses = new ArrayList<>();
      for (int i = 0; i < 14; i++) {
        responses.add(callers.submit(() -> send(edge)));
      }
      edge.await(
          () -> edge.openExchanges() == 14 && received(edge, 0) == 6 && received(edge, 1) == 6);
      evacuate(edge, "a");
      awaitEvacuated(edge, 1);
      releaseA.countDown();
      edge.await(() -> edge.openExchanges() == 8);
      releaseB.countDown();
      for (Future<String> response : responses) {
        assertThat(EdgeFixture.status(response.get())).isEqualTo(200);
      }
      assertThat(received(edge, 0)).isEqualTo(6);
      assertThat(received(edge, 1)).isEqualTo(8);
    }
  }

  @Example
  void testRetryIsNotSentToAnEvacuatedFailureDomain() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (EdgeFixture edge =
            PlacementFixture.start(
                r -> after(release, new Behaviour.Reset()), "a", r -> GOOD, "c", e -> {});
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<String> response = callers.submit(() -> send(edge));
      edge.await(() -> received(edge, 0) == 1);
      evacuate(edge, "c");
      awaitEvacuated(edge, 1);
      release.countDown();
      assertThat(EdgeFixture.status(response.get())).isNotEqualTo(200);
      assertThat(received(edge, 1)).isZero();
    }
  }

  /** An order is known from the first request on to an instance that starts after it. */
  @Example
  void testInstanceThatStartsLaterKnowsTheOrder() throws IOException {
    try (EdgeFixture edge =
        PlacementFixture.start(r -> GOOD, "a", r -> GOOD, "b", e -> evacuate(e, "a"))) {
      assertNothingIsSentTo(edge, 0);
      assertThat(received(edge, 0)).isZero();
    }
  }

  @Example
  void testKeyIsTheOrderWhateverTheValueHolds() throws IOException {
    try (EdgeFixture edge = PlacementFixture.start(r -> GOOD, "a", r -> GOOD, "b", e -> {})) {
      edge.store().put("op", EVACUATE_A, "neither JSON nor anything else");
      awaitEvacuated(edge, 1);
      assertNothingIsSentTo(edge, 0);
    }
  }

  /** The deletion itself is no longer in the log, and only the listing shows it. */
  @Example
  void testOrderThatIsMissingFromAListingIsTakenBack() throws IOException {
    try (EdgeFixture edge = PlacementFixture.start(r -> GOOD, "a", r -> GOOD, "b", e -> {})) {
      evacuate(edge, "a");
      evacuate(edge, "c");
      awaitEvacuated(edge, 2);
      edge.store().setFault(FakeStore.Fault.DOWN);
      edge.store().drop("op", EVACUATE_A);
      edge.store().forgetHistory("op");
      assertNothingIsSentTo(edge, 0);
      assertThat(metric(edge, "evacuated_domains")).isEqualTo(2);
      edge.store().setFault(FakeStore.Fault.NONE);
      awaitEvacuated(edge, 1);
      edge.await(() -> EdgeFixture.status(send(edge)) == 200 && received(edge, 0) > 0);
    }
  }

  /** The store is away, and another instance, which it serves, passes on both orders. */
  @Example
  void testOrderAndItsEndReachAnInstanceThatTheStoreRefuses() throws IOException {
    try (EdgeFixture edge = PlacementFixture.start(r -> GOOD, "a", r -> GOOD, "b", e -> {});
        FakePeer peer = FakePeer.open("a-reader", edge.peerAddress())) {
      edge.await(
          () -> {
            peer.sendDigest(EdgeDigest.newBuilder());
            return peer.lastDigest().getInstance().equals("self");
          });
      edge.store().setFault(FakeStore.Fault.DOWN);
      long end = edge.store().end("op");
      edge.await(
          () -> {
            peer.sendUpdate(update(end, end + 1, record(end, "{}")));
            return metric(edge, "evacuated_domains") == 1;
          });
      assertNothingIsSentTo(edge, 0);
      edge.await(
          () -> {
            peer.sendUpdate(update(end + 1, end + 2, record(end + 1, "")));
            return metric(edge, "evacuated_domains") == 0;
          });
      peer.sendUpdate(update(end, end + 1, record(end, "{}")));
      edge.await(() -> EdgeFixture.status(send(edge)) == 200 && received(edge, 0) > 0);
      assertThat(metric(edge, "evacuated_domains")).isZero();
    }
  }

  private static TopicRelay.Builder update(long from, long next, RelayedRecord.Builder record) {
    return TopicRelay.newBuilder().setTopic("op").setFrom(from).setNext(next).addRecords(record);
  }

  private static RelayedRecord.Builder record(long offset, String value) {
    return RelayedRecord.newBuilder()
        .setOffset(offset)
        .setKey(EVACUATE_A)
        .setValue(
            value.isEmpty()
                ? ByteString.EMPTY
                : ValueCompression.compress(value.getBytes(StandardCharsets.UTF_8)));
  }

  /** A crash in an evacuated failure domain is not looked into, as a probe would be sent there. */
  @Example
  void testEvacuatedFailureDomainIsNotProbed() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (EdgeFixture edge = EdgeFixture.start(r -> after(release, new Behaviour.Crash(600)));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<String> response =
          callers.submit(
              () ->
                  edge.send(
                      "POST",
                      "/tell/x",
                      "t",
                      "X-Model: *\r\nX-Token-Counts: 75,20\r\nX-Prompt-Prefix: a1:50,b:25\r\n"));
      edge.await(() -> received(edge, 0) == 1);
      evacuate(edge, "a");
      awaitEvacuated(edge, 1);
      release.countDown();
      assertThat(EdgeFixture.status(response.get())).isNotEqualTo(200);
      assertThat(EdgeFixture.status(send(edge))).isEqualTo(503);
      Thread.sleep(300);
      assertThat(metric(edge, "backend_crashes_total")).isZero();
    }
  }
}
