package org.kumquatplank.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.Example;

class ReturnScheduleTest {
  private static final long SECOND = 1_000_000;

  private final ReturnSchedule schedule = ReturnSchedule.create();

  /** A retry storm: a hundred rejected at once return one by one, in their order. */
  @Example
  void testCallersReturnInOrderAtThePaceOfStarts() {
    List<Double> times = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      times.add(schedule.nextSeconds(20 * SECOND, OptionalLong.of(50_000), 0));
    }
    assertThat(times).isSorted().doesNotHaveDuplicates();
    assertThat(times.get(0)).isEqualTo(0.15);
    assertThat(times.get(99)).isEqualTo(5.1);
  }

  @Example
  void testNoCallerWaitsForMoreThanAThirdOfItsTime() {
    for (int i = 0; i < 1_000; i++) {
      assertThat(schedule.nextSeconds(3 * SECOND, OptionalLong.of(50_000), 0)).isBetween(0.1, 1.0);
    }
    assertThat(schedule.nextSeconds(SECOND, OptionalLong.empty(), 2 * SECOND))
        .isBetween(0.005, 0.01);
  }

  @Example
  void testScheduleIsEmptyAgainAfterThePause() {
    for (int i = 0; i < 100; i++) {
      schedule.nextSeconds(20 * SECOND, OptionalLong.of(50_000), 0);
    }
    assertThat(schedule.nextSeconds(40 * SECOND, OptionalLong.of(50_000), 20 * SECOND))
        .isEqualTo(0.15);
  }
}
