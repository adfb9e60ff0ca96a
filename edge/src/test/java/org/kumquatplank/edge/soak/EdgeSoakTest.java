package org.kumquatplank.edge.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;

class EdgeSoakTest {
  private static final long MILLIS = 8_000;

  @Example
  void testGuaranteesHoldUnderASeriesOfFaults() throws IOException, InterruptedException {
    EdgeSoak.Result result = EdgeSoak.run(1, MILLIS);
    assertThat(result.violations()).isEmpty();
    assertThat(result.served()).isPositive();
    assertThat(result.notices()).isPositive();
  }
}
