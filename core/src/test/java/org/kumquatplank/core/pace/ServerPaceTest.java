package org.kumquatplank.core.pace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.BackendRegistry;

class ServerPaceTest {
  private static final long SECOND = 1_000_000;
  private static final int SLOTS = 16;
  private static final double SPREAD = 0.4;

  private final ServerPace pace = ServerPace.unknown();

  private void record(int count, int band, double deviation, long at) {
    for (int i = 0; i < count; i++) {
      pace.record(band, deviation, SPREAD, at);
    }
  }

  private static PaceReport report(int slowdownPercent, int limit, int samples) {
    return new PaceReport("s0", 1, slowdownPercent, limit, samples);
  }

  @Example
  void testServerOfWhichNothingIsKnownIsUsual() {
    assertThat(pace.slowdown(() -> 3, SLOTS, 0)).isEqualTo(1);
    assertThat(pace.limit(SLOTS, 0)).isEqualTo(16);
    assertThat(pace.ownReport("s0", 1, SLOTS, 0)).isEmpty();
  }

  @Example
  void testOneSlowResponseIsNotEvidence() {
    record(1, 2, 0.5, 0);
    assertThat(pace.slowdown(() -> 3, SLOTS, 0)).isEqualTo(1);
  }

  /** Reports of servers that seem to differ, and of no others, would make noise look like more. */
  @Example
  void testEveryServerThatRespondedRecentlyIsReported() {
    record(1, 2, 0.01, 0);
    assertThat(pace.ownReport("s0", 1, SLOTS, 1 * SECOND)).contains(report(101, 0, 1));
    assertThat(pace.ownReport("s0", 1, SLOTS, 2 * SECOND)).isEmpty();
  }

  @Example
  void testManySlowResponsesAreEvidence() {
    record(10, 2, 0.7, 0);
    assertThat(pace.slowdown(() -> 3, SLOTS, 0)).isBetween(1.4, 2.0);
    assertThat(pace.ownReport("s0", 1, SLOTS, 0)).contains(report(201, 0, 10));
  }

  /** All instances would choose the fastest servers, of whose load each knows only a part. */
  @Example
  void testFasterServerIsNotPreferred() {
    record(40, 2, -0.9, 0);
    assertThat(pace.slowdown(() -> 3, SLOTS, 0)).isEqualTo(1);
  }

  @Example
  void testServerWithoutResponsesDriftsBackToTheUsualPace() {
    record(10, 2, 0.7, 0);
    assertThat(pace.slowdown(() -> 3, SLOTS, 25 * SECOND)).isEqualTo(1);
  }

  @Example
  void testLimitIsLoweredAtOnceAndRaisedStepByStep() {
    record(12, 1, 0, 0);
    record(6, 4, 1.2, 0);
    assertThat(pace.limit(SLOTS, 0)).isEqualTo(4);
    // The evidence above the limit fades, as no requests are sent there.
    record(12, 1, 0, 10 * SECOND);
    assertThat(pace.limit(SLOTS, 10 * SECOND)).isEqualTo(16);
  }

  @Example
  void testSlownessAtEveryLoadIsNoLimit() {
    record(10, 1, 0.8, 0);
    record(10, 5, 0.8, 0);
    assertThat(pace.limit(SLOTS, 0)).isEqualTo(16);
  }

  @Example
  void testReportsOfPeersCountUntilTheyExpire() {
    for (int peer = 0; peer < 4; peer++) {
      pace.mergePeer("i" + peer, report(200, 0, 4), 0);
    }
    assertThat(pace.slowdown(() -> 3, SLOTS, 0)).isBetween(1.4, 2.0);
    assertThat(pace.slowdown(() -> 3, SLOTS, 9 * SECOND)).isEqualTo(1);
  }

  @Example
  void testOnePeerDoesNotDecide() {
    pace.mergePeer("i0", report(100_000, 1, 1_000_000), 0);
    record(12, 2, 0, 0);
    assertThat(pace.slowdown(() -> 3, SLOTS, 0)).isLessThan(1.25);
    assertThat(pace.limit(SLOTS, 0)).isEqualTo(16);
  }

  @Example
  void testLimitOfPeersIsTheirMedian() {
    pace.mergePeer("i0", report(100, 6, 4), 0);
    pace.mergePeer("i1", report(100, 7, 4), 0);
    pace.mergePeer("i2", report(100, 1, 4), 0);
    assertThat(pace.limit(SLOTS, 0)).isEqualTo(6);
  }

  @Example
  void testHearsayIsNotReported() {
    for (int peer = 0; peer < 10; peer++) {
      pace.mergePeer("i" + peer, report(300, 4, 6), 0);
    }
    assertThat(pace.ownReport("s0", 1, SLOTS, 0)).isEmpty();
  }

  /** A server that always reports 143 is slow; one that reports it for a moment is not. */
  @Example
  void testMomentarySlowdownIsRelativeToWhatTheServerUsuallyReports() {
    assertThat(pace.momentarySlowdown(2.5)).isEqualTo(2.5);
    for (int i = 0; i < 100; i++) {
      pace.recordReported(1.43);
    }
    assertThat(pace.momentarySlowdown(1.43)).isBetween(0.99, 1.01);
  }

  @Example
  void testRestartedServerIsUsual() {
    BackendRegistry registry = BackendRegistry.create();
    registry.setServers(List.of(PaceSimulation.server(0, 1)));
    registry.forService("desk").get(0).pace().mergePeer("i0", report(300, 0, 6), 0);
    registry.forService("desk").get(0).pace().mergePeer("i1", report(300, 0, 6), 0);
    assertThat(registry.forService("desk").get(0).learnedSlowdownPercent(0)).isGreaterThan(150);

    BackendServer restarted = PaceSimulation.server(0, 2);
    registry.setServers(List.of(restarted));
    registry.addPaces("i0", List.of(report(300, 0, 6)), 0);
    assertThat(registry.forService("desk").get(0).learnedSlowdownPercent(0)).isEqualTo(100);
  }

  /** The prompt, the model and the load differ, but the server takes what the forecast says. */
  @Example
  void testLargeRequestIsNotSlow() {
    PaceTracker tracker = PaceTracker.create();
    Random random = new Random(1);
    for (int i = 0; i < 200; i++) {
      double forecast = 20_000 + random.nextInt(400_000);
      tracker.record(
          i % 5 == 0 ? pace : ServerPace.unknown(),
          new PaceTracker.Sample(
              "pool", Optional.of("large"), forecast, forecast * 1.3, i % SLOTS, SLOTS, 1),
          0);
    }
    assertThat(pace.slowdown(() -> 3, SLOTS, 0)).isEqualTo(1);
  }

  /** What slows all servers alike, such as a lack of processor time here, is no slow server. */
  @Example
  void testSlownessOfAllServersIsNotThatOfOne() {
    PaceTracker tracker = PaceTracker.create();
    for (int i = 0; i < 130; i++) {
      double observed = i < 100 ? 50_000 : 200_000;
      tracker.record(
          i % 5 == 0 ? pace : ServerPace.unknown(),
          new PaceTracker.Sample("desk", Optional.empty(), 50_000, observed, 1, SLOTS, 1),
          i * SECOND / 10);
    }
    assertThat(pace.slowdown(() -> 3, SLOTS, 13 * SECOND)).isEqualTo(1);
  }

  @Example
  void testReportedSlowdownHoldsAsItIsUntilPaceIsLearned() {
    ServerPace pace = ServerPace.unknown();
    assertThat(pace.momentarySlowdown(0.8)).isEqualTo(0.8);
    assertThat(pace.momentarySlowdown(2.5)).isEqualTo(2.5);
  }

  /** A server that is no longer slow must not look faster than the others. */
  @Example
  void testServerThatHasReportedSlownessDoesNotLookFastAfterwards() {
    ServerPace pace = ServerPace.unknown();
    for (int i = 0; i < 40; i++) {
      pace.recordReported(5);
    }
    assertThat(pace.momentarySlowdown(1)).isEqualTo(1);
    assertThat(pace.recordReported(1)).isZero();
  }
}
