package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class RetryLimitTest {
  private static final long WINDOW_MICROS = 10_000_000;

  /** If all servers fail, the retries of six instances together stay under the common limit. */
  @Example
  void testRetriesOfAllInstancesStayUnderLimit() {
    int retries = 0;
    int requests = 0;
    for (int instance = 0; instance < 6; instance++) {
      RetryLimit limit = RetryLimit.create(0.9, 52, WINDOW_MICROS);
      for (int i = 0; i < 100; i++) {
        limit.recordRequest(i);
        requests++;
        retries += limit.tryAcquire(6, i) ? 1 : 0;
        retries += limit.tryAcquire(6, i) ? 1 : 0;
      }
    }
    assertThat((double) retries).isLessThanOrEqualTo(0.9 * requests + 52);
    assertThat(retries).isGreaterThan(300);
  }

  @Example
  void testOldRetriesLeaveTheWindow() {
    RetryLimit limit = RetryLimit.create(0, 10, WINDOW_MICROS);
    int acquired = 0;
    for (int i = 0; i < 20; i++) {
      acquired += limit.tryAcquire(1, 0) ? 1 : 0;
    }
    assertThat(acquired).isEqualTo(6);
    assertThat(limit.tryAcquire(1, WINDOW_MICROS / 2)).isFalse();
    assertThat(limit.tryAcquire(1, WINDOW_MICROS + 1)).isTrue();
  }
}
