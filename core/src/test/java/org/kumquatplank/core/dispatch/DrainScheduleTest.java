package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class DrainScheduleTest {
  @Example
  void testLastRequestsHaveMostOfTheGracePeriod() {
    assertThat(DrainSchedule.of(1_000_000, 8_000))
        .isEqualTo(new DrainSchedule(4_000_000, 4_500_000, 8_500_000, 8_800_000));
    assertThat(DrainSchedule.of(0, 30_000))
        .isEqualTo(new DrainSchedule(3_000_000, 3_500_000, 29_500_000, 29_800_000));
  }

  /** Guards against requests that are accepted after their responses could still be written. */
  @Example
  void testShortGracePeriodEndsAllInOrder() {
    assertThat(DrainSchedule.of(0, 1_000))
        .isEqualTo(new DrainSchedule(375_000, 500_000, 500_000, 800_000));
    assertThat(DrainSchedule.of(0, 100))
        .isEqualTo(new DrainSchedule(37_500, 37_500, 37_500, 37_500));
  }
}
