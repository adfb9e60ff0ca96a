package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class RetryLimitTest {
  private static final long WINDOW = 10_000_000;

  /** All servers fail: the repeats of six instances together stay under the common limit. */
  @Example
  void testRepeatsOfAllInstancesStayUnderTheLimit() {
    int repeats = 0;
    int requests = 0;
    for (int instance = 0; instance < 6; instance++) {
      RetryLimit limit = RetryLimit.create(0.9, 52, WINDOW);
      for (int i = 0; i < 100; i++) {
        limit.request(i);
        requests++;
        repeats += limit.tryTake(6, i) ? 1 : 0;
        repeats += limit.tryTake(6, i) ? 1 : 0;
      }
    }
    assertThat((double) repeats).isLessThanOrEqualTo(0.9 * requests + 52);
    assertThat(repeats).isGreaterThan(300);
  }

  @Example
  void testTheWindowSlides() {
    RetryLimit limit = RetryLimit.create(0, 10, WINDOW);
    int taken = 0;
    for (int i = 0; i < 20; i++) {
      taken += limit.tryTake(1, 0) ? 1 : 0;
    }
    assertThat(taken).isEqualTo(6);
    assertThat(limit.tryTake(1, WINDOW / 2)).isFalse();
    assertThat(limit.tryTake(1, WINDOW + 1)).isTrue();
  }
}
