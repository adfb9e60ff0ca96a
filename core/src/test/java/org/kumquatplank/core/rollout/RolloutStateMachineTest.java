package org.kumquatplank.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.rollout.RolloutStateMachine.Phase;

class RolloutStateMachineTest {
  private static final long SECOND = 1_000_000;
  private static final RolloutOrder ORDER =
      new RolloutOrder(LogPosition.of(0, 7), "pool", "v2", 24_000);

  private final RolloutStateMachine machine = RolloutStateMachine.create(ORDER, 0);

  @Example
  void testGoodVersionAdvancesThroughAllSteps() {
    machine.updateStats("own", VersionStats.of(50, 0, 500, 0), VersionStats.of(500, 3, 5_000, 9));
    assertThat(machine.rule(SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, false));
    assertThat(machine.rule(12 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, false));
    assertThat(machine.rule(13 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, true));
    assertThat(machine.rule(13_500_000)).isEqualTo(new VersionRule.Trial("v2", 0.18, true));
    assertThat(machine.rule(14_500_000)).isEqualTo(new VersionRule.Trial("v2", 0.45, true));
    assertThat(machine.rule(16 * SECOND)).isEqualTo(new VersionRule.Only("v2"));
    assertThat(machine.phase(18 * SECOND)).isEqualTo(Phase.RUNNING);
    machine.updateStats("own", VersionStats.of(50, 0, 500, 4), VersionStats.of(500, 3, 5_000, 0));
    assertThat(machine.phase(18 * SECOND)).isEqualTo(Phase.MAY_COMPLETE);
  }

  @Example
  void testMayCompleteAtEndDespiteInFlightRequests() {
    machine.updateStats("own", VersionStats.NONE, VersionStats.of(0, 0, 0, 3));
    assertThat(machine.phase(21 * SECOND)).isEqualTo(Phase.MAY_COMPLETE);
  }

  /**
   * Simulates 240 requests per second that all belong to sessions, a target version that fails half
   * of them, and evidence that reaches the instances 0.6 s late. There is no evidence before the
   * steps that include sessions, and the rollback must come after few failures.
   */
  @Example
  void testLimitsFailuresIfOnlySessionsReachVersion() {
    int[] bad = new int[240 * 24 + 1];
    int[] good = new int[bad.length];
    int i = 0;
    for (; i < 240 * 24 && machine.phase(i * SECOND / 240) == Phase.RUNNING; i++) {
      boolean sentToTarget =
          machine.rule(i * SECOND / 240) instanceof VersionRule.Trial trial
              && trial.includesSessions()
              && i * 37 % 100 < 100 * trial.share();
      good[i + 1] = good[i] + (sentToTarget && i % 2 == 1 ? 1 : 0);
      bad[i + 1] = bad[i] + (sentToTarget && i % 2 == 0 ? 1 : 0);
      int observed = Math.max(0, i - 144);
      VersionStats others = VersionStats.of(observed, 0, observed, 0);
      machine.updateStats(
          "a", VersionStats.of(good[observed], bad[observed], good[observed], 0), others);
    }
    assertThat(machine.phase(16 * SECOND)).isEqualTo(Phase.WITHDRAWN);
    assertThat(bad[i]).isLessThanOrEqualTo(12);
  }

  /**
   * If half of the responses fail, the median of 20 seeds is rolled back well before 50 failures.
   */
  @Example
  void testRollsBackBadVersionEarly() {
    int[] failuresBySeed = new int[20];
    for (int seed = 0; seed < failuresBySeed.length; seed++) {
      RolloutStateMachine rollout = RolloutStateMachine.create(ORDER, 0);
      Random random = new Random(seed);
      int good = 0;
      int bad = 0;
      while (rollout.phase(SECOND) == Phase.RUNNING && bad < 50) {
        good += random.nextDouble() < 0.5 ? 1 : 0;
        bad += random.nextDouble() < 0.5 ? 1 : 0;
        rollout.updateStats(
            "a", VersionStats.of(good, bad, good, 0), VersionStats.of(300, 2, 300, 0));
      }
      failuresBySeed[seed] = bad;
      assertThat(rollout.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
      assertThat(rollout.rule(SECOND)).isEqualTo(new VersionRule.Except("v2"));
    }
    Arrays.sort(failuresBySeed);
    assertThat(failuresBySeed[10]).isLessThan(25);
  }

  @Example
  void testAggregatesEvidenceOfAllInstances() {
    for (int i = 0; i < 4; i++) {
      assertThat(machine.phase(SECOND)).isEqualTo(Phase.RUNNING);
      machine.updateStats("i" + i, VersionStats.of(0, 1, 0, 0), VersionStats.of(60, 0, 60, 0));
    }
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
  }

  @Example
  void testRollsBackMuchSlowerVersion() {
    machine.updateStats("own", VersionStats.of(8, 0, 800, 0), VersionStats.of(100, 0, 1_200, 0));
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
  }

  /** A response of the target version in the simulation of a slow one. */
  private record Send(long at, boolean toTarget) {}

  /**
   * Simulates requests that all belong to sessions and a target version that takes eight times as
   * long as the others, so that hardly any of its responses is complete before all requests go to
   * it by the schedule.
   *
   * @return share of the requests that are sent to the target version until it is rolled back
   */
  private static double shareOfSlowVersion(int perSecond, long durationMillis, long lagMicros) {
    RolloutStateMachine rollout =
        RolloutStateMachine.create(
            new RolloutOrder(LogPosition.of(0, 7), "pool", "v2", durationMillis), 0);
    long usualMicros = 1_000_000;
    List<Send> sends = new ArrayList<>();
    int total = (int) (perSecond * durationMillis / 1_000);
    int exposed = 0;
    for (int i = 0; i < total; i++) {
      long now = i * SECOND / perSecond;
      VersionRule rule = rollout.rule(now);
      boolean toTarget =
          rule instanceof VersionRule.Only
              || (rule instanceof VersionRule.Trial trial
                  && trial.includesSessions()
                  && i * 37 % 100 < 100 * trial.share());
      sends.add(new Send(now, toTarget));
      exposed += toTarget ? 1 : 0;
      long seen = now - lagMicros;
      VersionStats target = VersionStats.NONE;
      VersionStats others = VersionStats.NONE;
      for (Send send : sends) {
        long age = seen - send.at();
        if (age < 0) {
          continue;
        }
        if (send.toTarget()) {
          boolean complete = age >= 8 * usualMicros;
          boolean overdue = !complete && age > 2 * usualMicros;
          target =
              target.plus(
                  complete
                      ? new VersionStats(1, 0, 400, 0, 1, 0)
                      : new VersionStats(0, 0, 0, 1, 0, overdue ? 1 : 0));
        } else {
          others =
              others.plus(
                  age >= usualMicros ? VersionStats.of(1, 0, 50, 0) : VersionStats.of(0, 0, 0, 1));
        }
      }
      rollout.updateStats("a", target, others);
    }
    assertThat(rollout.phase(durationMillis * 1_000)).isEqualTo(Phase.WITHDRAWN);
    return exposed / (double) total;
  }

  @Example
  void testSlowVersionGetsFewRequestsBeforeItsResponsesEnd() {
    assertThat(shareOfSlowVersion(65, 15_200, 600_000)).isLessThan(0.0975);
    assertThat(shareOfSlowVersion(240, 24_000, 2_000_000)).isLessThan(0.0975);
    assertThat(shareOfSlowVersion(240, 10_000, 1_000_000)).isLessThan(0.0975);
  }

  /** Replays a good version whose servers are fewer than all, when it gets all requests. */
  @Example
  void testGoodVersionMayBeSlowerUnderAllRequests() {
    VersionStats others = new VersionStats(480, 0, 22_000, 12, 23, 3);
    machine.updateStats("own", new VersionStats(11, 0, 226, 9, 0, 0), others);
    for (long now = 12 * SECOND; now < 18 * SECOND; now += SECOND / 10) {
      machine.rule(now);
    }
    machine.updateStats("own", new VersionStats(43, 0, 2_691, 84, 5, 8), others);
    assertThat(machine.rule(18 * SECOND)).isEqualTo(new VersionRule.Only("v2"));
  }

  @Example
  void testDoubtfulVersionKeepsShareOfTrial() {
    VersionStats others = new VersionStats(480, 0, 22_000, 110, 23, 6);
    machine.updateStats("own", new VersionStats(6, 0, 401, 4, 1, 1), others);
    assertThat(machine.rule(16 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, true));
    assertThat(machine.phase(23 * SECOND)).isEqualTo(Phase.RUNNING);
  }

  /** Guards against an instance that starts late and takes its own ignorance for low traffic. */
  @Example
  void testInstanceThatObservesNothingYetTakesNoStep() {
    RolloutStateMachine late = RolloutStateMachine.create(ORDER, 19 * SECOND);
    late.extendElapsed(17 * SECOND, 19 * SECOND);
    assertThat(late.rule(19 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, true));
    assertThat(late.phase(21 * SECOND)).isEqualTo(Phase.RUNNING);
  }

  /** Guards against the completion of a version whose servers are gone. */
  @Example
  void testVersionThatGetsNoRequestsWhileOthersGetManyIsNotCompleted() {
    for (long now = 0; now <= 40 * SECOND; now += SECOND / 10) {
      machine.updateStats("own", VersionStats.NONE, VersionStats.of((int) (now / 50_000), 0, 9, 0));
      assertThat(machine.phase(now)).isEqualTo(Phase.RUNNING);
    }
  }

  @Example
  void testVersionOfAServiceWithoutTrafficIsCompleted() {
    for (long now = 0; now <= 21 * SECOND; now += SECOND / 10) {
      machine.updateStats("own", VersionStats.NONE, VersionStats.NONE);
      machine.rule(now);
    }
    assertThat(machine.phase(21 * SECOND)).isEqualTo(Phase.MAY_COMPLETE);
  }

  @Example
  void testStepOfPeerIsTakenAndTheNextOneWaits() {
    VersionStats others = new VersionStats(480, 0, 22_000, 110, 23, 6);
    machine.updateStats("own", new VersionStats(12, 0, 300, 4, 0, 0), others);
    machine.catchUp(2, 20 * SECOND);
    assertThat(machine.rule(20 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.18, true));
    assertThat(machine.rule(20_500_000)).isEqualTo(new VersionRule.Trial("v2", 0.45, true));
  }

  @Example
  void testToleratesUsualFailureRatio() {
    machine.updateStats("own", VersionStats.of(12, 3, 12, 0), VersionStats.of(80, 20, 80, 0));
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.RUNNING);
  }

  @Example
  void testCompletedRolloutIsNotRolledBack() {
    machine.markCompleted();
    machine.rollBack();
    machine.updateStats("own", VersionStats.of(0, 40, 0, 0), VersionStats.NONE);
    assertThat(machine.rule(SECOND)).isEqualTo(new VersionRule.Only("v2"));
  }
}
