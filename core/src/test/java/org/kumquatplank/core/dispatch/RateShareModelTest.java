package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;

/**
 * Plays instances that share the limit of a backend server, learn of it one after the other, see
 * too few peers at times and get their load in bursts.
 */
class RateShareModelTest {
  private static final long SECOND = 1_000_000;
  private static final long STEP = 20_000;
  private static final long WINDOW = 4 * SECOND;

  /** Requests for the server that each instance gets in a step during a burst. */
  private static final int BURST = 3;

  private static List<Long> play(int instances, double limit, Random random) {
    RateShare[] shares = new RateShare[instances];
    long[] toldAt = new long[instances];
    List<Long> sent = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      toldAt[i] = random.nextInt(3) * SECOND;
    }
    boolean burst = false;
    for (long now = 0; now < 40 * SECOND; now += STEP) {
      burst = random.nextInt(50) == 0 ? !burst : burst;
      for (int i = 0; i < instances; i++) {
        if (shares[i] == null && now >= toldAt[i]) {
          shares[i] = RateShare.create(limit, instances, random.nextDouble(), now);
        }
        int live = Math.max(1, instances - (random.nextInt(20) == 0 ? 1 : 0));
        int requests = burst ? BURST : random.nextInt(200) == 0 ? 1 : 0;
        for (int r = 0; r < requests && shares[i] != null; r++) {
          if (shares[i].isAvailable(live, now)) {
            shares[i].recordRequest(live, now);
            sent.add(now);
          }
        }
      }
    }
    return sent;
  }

  private static void check(long seed, int instances, double limit) {
    List<Long> sent = play(instances, limit, new Random(seed));
    for (long start : sent) {
      long inWindow = sent.stream().filter(t -> t >= start && t < start + WINDOW).count();
      assertThat((double) inWindow)
          .as("requests in 4 s, seed %d", seed)
          .isLessThanOrEqualTo(1.5 * limit * 4 + 5);
    }
  }

  @Property(tries = 200, seed = "21", shrinking = ShrinkingMode.OFF)
  void testSixInstancesTogetherStayWithinTheLimit(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    check(seed, 6, 2.2);
  }

  @Property(tries = 100, seed = "21", shrinking = ShrinkingMode.OFF)
  void testManyInstancesTogetherStayWithinTheLimit(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    check(seed, 90, 3.7);
  }

  @Example
  void testSustainedLoadUsesMostOfTheLimit() {
    RateShare share = RateShare.create(10, 1, 0.5, 0);
    int sent = 0;
    for (long now = 0; now < 10 * SECOND; now += STEP) {
      if (share.isAvailable(1, now)) {
        share.recordRequest(1, now);
        sent++;
      }
    }
    assertThat(sent).isBetween(60, 100);
  }
}
