package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import net.jqwik.api.Example;
import org.kumquatplank.platform.wire.WireException;

class EdgeOptionsTest {
  @Example
  void testPaceIsLearnedOnlyWhereTheVariableSaysSo() {
    assertThat(EdgeOptions.of(Map.of()).learnsPace()).isFalse();
    assertThat(EdgeOptions.of(Map.of("KUMQUATPLANK_LEARN_PACE", "false")).learnsPace()).isFalse();
    assertThat(EdgeOptions.of(Map.of("KUMQUATPLANK_LEARN_PACE", "true")).learnsPace()).isTrue();
  }

  @Example
  void testOtherValuesAreRejected() {
    assertThatThrownBy(() -> EdgeOptions.of(Map.of("KUMQUATPLANK_LEARN_PACE", "yes")))
        .isInstanceOf(WireException.class)
        .hasMessageContaining("KUMQUATPLANK_LEARN_PACE");
  }
}
