package org.kumquatplank.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.rollout.RolloutStateMachine.Phase;

class RolloutModelTest {
  /** Share of the requests that a bad version may get, and requests that are allowed beyond it. */
  private static final double EXPOSURE_SHARE = 0.0975;

  private static final int EXPOSURE_SLACK = 30;

  private static RolloutSimulation play(
      int count, int perSecond, double failureRatio, boolean unequalTraffic) {
    RolloutSimulation model = new RolloutSimulation(failureRatio, unequalTraffic);
    model.run(count, perSecond, Math.max(1, count / 100), Math.max(2, count / 6));
    return model;
  }

  /** Guards against a bad version that a restarted instance without evidence completes. */
  @Example
  void testBadVersionIsRolledBackAtEachSize() {
    for (boolean unequal : new boolean[] {false, true}) {
      for (int[] size : new int[][] {{6, 60}, {95, 280}, {390, 800}}) {
        RolloutSimulation model = play(size[0], size[1], 0.5, unequal);
        assertThat(model.recorded()).as("%d instances", size[0]).containsExactly(Phase.WITHDRAWN);
        assertThat(model.exposed())
            .as("%d instances", size[0])
            .isLessThanOrEqualTo((int) (EXPOSURE_SHARE * model.requests()) + EXPOSURE_SLACK);
        assertThat(model.storeReads())
            .as("%d instances", size[0])
            .isLessThan(Math.max(10, size[0] / 4));
      }
    }
  }

  /** The bad version fails while nearly nothing reaches each single instance. */
  @Example
  void testBadVersionWithLittleTrafficIsNotCompletedByInstancesThatRestart() {
    for (int count : new int[] {6, 95, 390}) {
      RolloutSimulation model = new RolloutSimulation(0.9, false);
      model.run(count, 20, 1, count);
      assertThat(model.recorded()).as("%d instances", count).doesNotContain(Phase.MAY_COMPLETE);
    }
  }

  private static void assertCompletedAtEachSize(double failureRatio) {
    for (boolean unequal : new boolean[] {false, true}) {
      for (int[] size : new int[][] {{6, 60}, {95, 280}, {390, 800}}) {
        RolloutSimulation model = play(size[0], size[1], failureRatio, unequal);
        assertThat(model.recorded())
            .as("%d instances", size[0])
            .containsExactly(Phase.MAY_COMPLETE);
        assertThat(model.storeReads())
            .as("%d instances", size[0])
            .isLessThan(Math.max(10, size[0] / 4));
      }
    }
  }

  @Example
  void testGoodVersionIsCompletedAtEachSize() {
    assertCompletedAtEachSize(0);
  }

  /** Each instance judges by a part of the evidence, and the first that finds a fault decides. */
  @Example
  void testVersionThatRarelyFailsIsCompletedAtEachSize() {
    assertCompletedAtEachSize(0.01);
  }
}
