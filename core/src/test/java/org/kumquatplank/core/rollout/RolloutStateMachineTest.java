package org.kumquatplank.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.rollout.RolloutStateMachine.Phase;

class RolloutStateMachineTest {
  private static final long SECOND = 1_000_000;
  private static final RolloutOrder ORDER = new RolloutOrder(7, "pool", "v2", 24_000);

  private final RolloutStateMachine machine = RolloutStateMachine.create(ORDER, 0);

  @Example
  void testGoodVersionAdvancesThroughAllSteps() {
    machine.updateStats("own", new VersionStats(50, 0, 500, 0), new VersionStats(500, 3, 5_000, 9));
    assertThat(machine.rule(SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, false));
    assertThat(machine.rule(12 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, false));
    assertThat(machine.rule(13 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, true));
    assertThat(machine.rule(13_500_000)).isEqualTo(new VersionRule.Trial("v2", 0.18, true));
    assertThat(machine.rule(14_500_000)).isEqualTo(new VersionRule.Trial("v2", 0.45, true));
    assertThat(machine.rule(16 * SECOND)).isEqualTo(new VersionRule.Only("v2"));
    assertThat(machine.phase(18 * SECOND)).isEqualTo(Phase.RUNNING);
    machine.updateStats("own", new VersionStats(50, 0, 500, 4), new VersionStats(500, 3, 5_000, 0));
    assertThat(machine.phase(18 * SECOND)).isEqualTo(Phase.MAY_COMPLETE);
  }

  @Example
  void testMayCompleteAtEndDespiteInFlightRequests() {
    machine.updateStats("own", VersionStats.NONE, new VersionStats(0, 0, 0, 3));
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
      VersionStats others = new VersionStats(observed, 0, observed, 0);
      machine.updateStats(
          "a", new VersionStats(good[observed], bad[observed], good[observed], 0), others);
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
            "a", new VersionStats(good, bad, good, 0), new VersionStats(300, 2, 300, 0));
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
      machine.updateStats("i" + i, new VersionStats(0, 1, 0, 0), new VersionStats(60, 0, 60, 0));
    }
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
  }

  @Example
  void testRollsBackMuchSlowerVersion() {
    machine.updateStats("own", new VersionStats(8, 0, 800, 0), new VersionStats(100, 0, 1_200, 0));
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
  }

  @Example
  void testToleratesUsualFailureRatio() {
    machine.updateStats("own", new VersionStats(12, 3, 12, 0), new VersionStats(80, 20, 80, 0));
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.RUNNING);
  }

  @Example
  void testCompletedRolloutIsNotRolledBack() {
    machine.markCompleted();
    machine.rollBack();
    machine.updateStats("own", new VersionStats(0, 40, 0, 0), VersionStats.NONE);
    assertThat(machine.rule(SECOND)).isEqualTo(new VersionRule.Only("v2"));
  }
}
