package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class LogThrottleTest {
  @Example
  void testPassesOneLinePerIntervalAndCountsTheOmittedOnes() {
    LogThrottle throttle = LogThrottle.create(1_000);
    assertThat(throttle.pass(0)).hasValue(0);
    assertThat(throttle.pass(500)).isEmpty();
    assertThat(throttle.pass(999)).isEmpty();
    assertThat(throttle.pass(1_000)).hasValue(2);
    assertThat(throttle.pass(2_000)).hasValue(0);
  }
}
