package org.kumquatplank.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

class EvacuationListTest {
  private final EvacuationList list = EvacuationList.create();

  @Example
  void testOrdersApplyToTheirFailureDomainAlone() {
    assertThat(list.begin("a")).isTrue();
    assertThat(list.begin("b")).isTrue();
    assertThat(list.evacuated()).containsExactlyInAnyOrder("a", "b");
    assertThat(list.end("b")).isTrue();
    assertThat(list.evacuated()).containsExactly("a");
  }

  @Example
  void testRepeatedOrdersAreNoChange() {
    assertThat(list.begin("a")).isTrue();
    assertThat(list.begin("a")).isFalse();
    assertThat(list.end("a")).isTrue();
    assertThat(list.end("a")).isFalse();
    assertThat(list.end("never")).isFalse();
  }

  /** A record that was deleted while the history was unavailable is only missing from a listing. */
  @Example
  void testFailureDomainThatAListingLacksIsTakenBack() {
    list.begin("a");
    list.begin("b");
    assertThat(list.endUnlisted(List.of("b", "c"))).containsExactly("a");
    assertThat(list.evacuated()).containsExactly("b");
  }
}
