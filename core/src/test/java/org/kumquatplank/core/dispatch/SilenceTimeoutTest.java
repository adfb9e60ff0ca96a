package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

class SilenceTimeoutTest {
  private final BackendRegistry registry = BackendRegistry.create();

  private BackendState state() {
    registry.setServers(List.of(Samples.server("s", "pool", "a", "v1")));
    return registry.all().iterator().next();
  }

  /**
   * During the prefill of a long prompt an engine still makes progress on other requests. Moving
   * requests away from it repeats the prefill elsewhere and adds load.
   */
  @Example
  void testWaitsLongerForBusyEngine() {
    BackendState state = state();
    state.recordProgress(1_000_000);
    assertThat(SilenceTimeout.timeoutMicros(Samples.stream(3), state, 100_000, true, 1_100_000))
        .isEqualTo(1_600_000);
    assertThat(SilenceTimeout.timeoutMicros(Samples.stream(3), state, 100_000, false, 1_100_000))
        .isEqualTo(2_400_000);
  }

  @Example
  void testSilentServerTimesOutBeforeLatencyTarget() {
    BackendState state = state();
    assertThat(SilenceTimeout.timeoutMicros(Samples.stream(3), state, 100_000, true, 1_000_000))
        .isEqualTo(560_000);
    assertThat(SilenceTimeout.timeoutMicros(Samples.stream(3), state, 100_000, false, 1_000_000))
        .isEqualTo(800_000);
    assertThat(SilenceTimeout.timeoutMicros(Samples.safe(), state, 0, false, 1_000_000))
        .isEqualTo(160_000);
  }

  @Example
  void testTimeoutGrowsWithExpectedLatency() {
    assertThat(SilenceTimeout.timeoutMicros(Samples.stream(3), state(), 500_000, false, 1_000_000))
        .isEqualTo(1_500_000);
  }
}
