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
  void testGoodVersionGoesStepByStepToAllWork() {
    machine.setEvidence("own", new Evidence(50, 0, 500, 0), new Evidence(500, 3, 5_000, 9));
    assertThat(machine.rule(SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, false));
    assertThat(machine.rule(12 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, false));
    assertThat(machine.rule(13 * SECOND)).isEqualTo(new VersionRule.Trial("v2", 0.06, true));
    assertThat(machine.rule(13_500_000)).isEqualTo(new VersionRule.Trial("v2", 0.18, true));
    assertThat(machine.rule(14_500_000)).isEqualTo(new VersionRule.Trial("v2", 0.45, true));
    assertThat(machine.rule(16 * SECOND)).isEqualTo(new VersionRule.Only("v2"));
    assertThat(machine.phase(18 * SECOND)).isEqualTo(Phase.RUNNING);
    machine.setEvidence("own", new Evidence(50, 0, 500, 4), new Evidence(500, 3, 5_000, 0));
    assertThat(machine.phase(18 * SECOND)).isEqualTo(Phase.MAY_COMPLETE);
  }

  @Example
  void testItIsCompletedInTimeThoughOldWorkIsStillOpen() {
    machine.setEvidence("own", Evidence.NONE, new Evidence(0, 0, 0, 3));
    assertThat(machine.phase(21 * SECOND)).isEqualTo(Phase.MAY_COMPLETE);
  }

  /**
   * Replays work that all belongs to sessions, 240 requests a second to a version of which half
   * fail, as instances see it that hear of each other 0.6 s later: nothing shows before sessions
   * may move, and few of them are hit then.
   */
  @Example
  void testVersionThatOnlySessionsShowToBeBadIsHitByFew() {
    int[] bad = new int[240 * 24 + 1];
    int[] good = new int[bad.length];
    int i = 0;
    for (; i < 240 * 24 && machine.phase(i * SECOND / 240) == Phase.RUNNING; i++) {
      boolean moves =
          machine.rule(i * SECOND / 240) instanceof VersionRule.Trial trial
              && trial.includesSessions()
              && i * 37 % 100 < 100 * trial.share();
      good[i + 1] = good[i] + (moves && i % 2 == 1 ? 1 : 0);
      bad[i + 1] = bad[i] + (moves && i % 2 == 0 ? 1 : 0);
      int heard = Math.max(0, i - 144);
      Evidence rest = new Evidence(heard, 0, heard, 0);
      machine.setEvidence("a", new Evidence(good[heard], bad[heard], good[heard], 0), rest);
    }
    assertThat(machine.phase(16 * SECOND)).isEqualTo(Phase.WITHDRAWN);
    assertThat(bad[i]).isLessThanOrEqualTo(12);
  }

  /** Half of the answers fail: the median of 20 seeds is withdrawn long before 50 bad ones. */
  @Example
  void testBadVersionIsWithdrawnEarly() {
    int[] badSeen = new int[20];
    for (int seed = 0; seed < badSeen.length; seed++) {
      RolloutStateMachine tried = RolloutStateMachine.create(ORDER, 0);
      Random random = new Random(seed);
      int good = 0;
      int bad = 0;
      while (tried.phase(SECOND) == Phase.RUNNING && bad < 50) {
        good += random.nextDouble() < 0.5 ? 1 : 0;
        bad += random.nextDouble() < 0.5 ? 1 : 0;
        tried.setEvidence("a", new Evidence(good, bad, good, 0), new Evidence(300, 2, 300, 0));
      }
      badSeen[seed] = bad;
      assertThat(tried.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
      assertThat(tried.rule(SECOND)).isEqualTo(new VersionRule.Except("v2"));
    }
    Arrays.sort(badSeen);
    assertThat(badSeen[10]).isLessThan(25);
  }

  @Example
  void testEvidenceOfAllInstancesCounts() {
    for (int i = 0; i < 4; i++) {
      assertThat(machine.phase(SECOND)).isEqualTo(Phase.RUNNING);
      machine.setEvidence("i" + i, new Evidence(0, 1, 0, 0), new Evidence(60, 0, 60, 0));
    }
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
  }

  @Example
  void testVersionThatIsSeveralTimesSlowerIsWithdrawn() {
    machine.setEvidence("own", new Evidence(8, 0, 800, 0), new Evidence(100, 0, 1_200, 0));
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.WITHDRAWN);
  }

  @Example
  void testFewFailuresOfAServiceThatFailsNowAndThenAreNoSign() {
    machine.setEvidence("own", new Evidence(12, 3, 12, 0), new Evidence(80, 20, 80, 0));
    assertThat(machine.phase(SECOND)).isEqualTo(Phase.RUNNING);
  }

  @Example
  void testWhatIsRecordedAsCompletedStays() {
    machine.complete();
    machine.withdraw();
    machine.setEvidence("own", new Evidence(0, 40, 0, 0), Evidence.NONE);
    assertThat(machine.rule(SECOND)).isEqualTo(new VersionRule.Only("v2"));
  }
}
