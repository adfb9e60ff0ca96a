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

  /** An engine that reads a long prompt goes on answering others: leaving it makes things worse. */
  @Example
  void testBusyEngineIsWaitedFor() {
    BackendState state = state();
    state.progressed(1_000_000);
    assertThat(SilenceTimeout.micros(Samples.stream(3), state, 100_000, true, 1_100_000))
        .isEqualTo(1_600_000);
    assertThat(SilenceTimeout.micros(Samples.stream(3), state, 100_000, false, 1_100_000))
        .isEqualTo(2_400_000);
  }

  @Example
  void testServerThatAnswersNobodyIsLeftBeforeTheTargetPasses() {
    BackendState state = state();
    assertThat(SilenceTimeout.micros(Samples.stream(3), state, 100_000, true, 1_000_000))
        .isEqualTo(560_000);
    assertThat(SilenceTimeout.micros(Samples.stream(3), state, 100_000, false, 1_000_000))
        .isEqualTo(800_000);
    assertThat(SilenceTimeout.micros(Samples.safe(), state, 0, false, 1_000_000)).isEqualTo(160_000);
  }

  @Example
  void testALongPromptIsGivenItsTime() {
    assertThat(SilenceTimeout.micros(Samples.stream(3), state(), 500_000, false, 1_000_000))
        .isEqualTo(1_500_000);
  }
}
