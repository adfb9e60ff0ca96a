package org.kumquatplank.core.pace;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Plays instances that share servers of different speed, with digests of which three of ten are
 * lost. A run with learning is compared with the same run without, that is with fixed weights.
 */
class PaceModelTest {
  private static final int[] INSTANCES = {6, 87, 390};

  private static int instances(int index) {
    return INSTANCES[index];
  }

  @Property(tries = 3)
  void testServerAtHalfSpeedGetsFewerRequests(@ForAll @IntRange(max = 2) int size) {
    PaceSimulation.Speed speed = (server, running, now) -> server == 0 ? 2 : 1;
    PaceSimulation fixed = PaceSimulation.run(instances(size), 0.55, 30, false, speed);
    PaceSimulation learned = PaceSimulation.run(instances(size), 0.55, 30, true, speed);
    assertThat(learned.shares(10, 30)[0]).isLessThan(0.7 * fixed.shares(10, 30)[0]);
    assertThat(learned.lateShare(10, 150)).isLessThan(0.7 * fixed.lateShare(10, 150));
  }

  /** Two of six servers take three times as long from 4 of 10 requests on. */
  @Property(tries = 3)
  void testServerWithKneeAtFortyPercentOfItsSlotsIsKeptBelowIt(
      @ForAll @IntRange(max = 2) int size) {
    PaceSimulation.Speed speed = (server, running, now) -> server < 2 && running > 4 ? 3 : 1;
    PaceSimulation fixed = PaceSimulation.run(instances(size), 0.5, 30, false, speed);
    PaceSimulation learned = PaceSimulation.run(instances(size), 0.5, 30, true, speed);
    assertThat(learned.lateShare(10, 150)).isLessThan(0.4 * fixed.lateShare(10, 150));
  }

  /** One of six servers takes three times as long from second 10 to second 20. */
  @Property(tries = 3)
  void testServerThatWasSlowForTenSecondsReturns(@ForAll @IntRange(max = 2) int size) {
    PaceSimulation.Speed speed =
        (server, running, now) ->
            server == 0 && now > 10 * PaceSimulation.SECOND && now < 20 * PaceSimulation.SECOND
                ? 3
                : 1;
    PaceSimulation fixed = PaceSimulation.run(instances(size), 0.5, 45, false, speed);
    PaceSimulation learned = PaceSimulation.run(instances(size), 0.5, 45, true, speed);
    assertThat(learned.shares(14, 20)[0]).isLessThan(0.7 * fixed.shares(14, 20)[0]);
    assertThat(learned.shares(35, 45)[0]).isBetween(0.13, 0.20);
  }

  /** All servers take two and a half times as long from second 10 on. */
  @Property(tries = 3)
  void testServiceThatIsSlowAsAWholeIsUsedAsBefore(@ForAll @IntRange(max = 2) int size) {
    PaceSimulation.Speed speed =
        (server, running, now) -> now > 10 * PaceSimulation.SECOND ? 2.5 : 1;
    PaceSimulation learned = PaceSimulation.run(instances(size), 0.25, 30, true, speed);
    assertThat(learned.maxWaits()).isZero();
    for (int server = 0; server < 6; server++) {
      assertThat(learned.shares(12, 30)[server]).isBetween(0.13, 0.20);
      assertThat(learned.meanLimit(server)).isGreaterThan(0.9 * PaceSimulation.SLOTS);
    }
  }

  @Property(tries = 3)
  void testNoServerIsPutAsideForNoise(@ForAll @IntRange(max = 2) int size) {
    PaceSimulation learned =
        PaceSimulation.run(instances(size), 0.6, 30, true, (server, running, now) -> 1);
    for (int server = 0; server < 6; server++) {
      assertThat(learned.shares(5, 30)[server]).isBetween(0.13, 0.20);
      assertThat(learned.meanSlowdown(server)).isBetween(0.95, 1.05);
      assertThat(learned.meanLimit(server)).isGreaterThan(0.95 * PaceSimulation.SLOTS);
    }
  }

  /** The share of a slow server must not swing between none and all of the requests. */
  @Property(tries = 3)
  void testInstancesConvergeWithoutOscillation(@ForAll @IntRange(max = 2) int size) {
    PaceSimulation.Speed speed = (server, running, now) -> server == 0 ? 2 : 1;
    PaceSimulation learned = PaceSimulation.run(instances(size), 0.55, 40, true, speed);
    for (int second = 19; second < 40; second += 3) {
      double[] shares = learned.shares(second, second + 3);
      assertThat(shares[0]).isLessThan(0.08);
      for (int server = 1; server < 6; server++) {
        assertThat(shares[server]).isBetween(0.13, 0.26);
      }
    }
  }

  /** 40 servers, of which an instance sees each once in five seconds; four take three times. */
  @Example
  void testSlowServersAmongManyAreLearnedFromPeers() {
    PaceSimulation.Speed speed = (server, running, now) -> server < 4 ? 3 : 1;
    PaceSimulation fixed = PaceSimulation.runManyServers(false, speed);
    PaceSimulation learned = PaceSimulation.runManyServers(true, speed);
    assertThat(learned.meanMillis(15)).isLessThan(0.97 * fixed.meanMillis(15));
    assertThat(learned.lateShare(15, 2_400)).isLessThan(0.7 * fixed.lateShare(15, 2_400));
  }

  /** One third of the servers is much faster; all instances must not send everything there. */
  @Example
  void testFastServersAreNotOverloaded() {
    PaceSimulation.Speed speed = (server, running, now) -> server % 3 == 2 ? 1 / 1.7 : 1 / 0.7;
    PaceSimulation fixed = PaceSimulation.runManyServers(false, speed);
    PaceSimulation learned = PaceSimulation.runManyServers(true, speed);
    assertThat(learned.meanMillis(15)).isLessThan(1.03 * fixed.meanMillis(15));
  }

  @Example
  void testNoneOfManyServersIsPutAsideForNoise() {
    PaceSimulation.Speed equal = (server, running, now) -> 1;
    PaceSimulation fixed = PaceSimulation.runManyServers(false, equal);
    PaceSimulation learned = PaceSimulation.runManyServers(true, equal);
    assertThat(learned.meanMillis(15)).isLessThan(1.03 * fixed.meanMillis(15));
    for (int server = 0; server < 40; server++) {
      assertThat(learned.shares(15, 38)[server]).isBetween(0.0125, 0.05);
    }
  }
}
