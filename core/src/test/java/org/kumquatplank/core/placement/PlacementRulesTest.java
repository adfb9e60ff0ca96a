package org.kumquatplank.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.placement.PlacementRules.Refusal;

class PlacementRulesTest {
  private static final RegionRule ANYWHERE = new RegionRule.Anywhere();
  private static final RegionRule NORTH = RegionRule.of(List.of("north"));
  private static final PlacementRules RULES =
      PlacementRules.of(Map.of("n1", "north", "n2", "north", "s1", "south"));
  private static final BackendServer IN_N1 = server("n1");
  private static final BackendServer IN_N2 = server("n2");
  private static final BackendServer IN_S1 = server("s1");
  private static final BackendServer IN_UNKNOWN = server("x");

  private static BackendServer server(String failureDomain) {
    return new BackendServer("i", 1, "pool", "127.0.0.1", 1, failureDomain, "v1", 4, 0, false);
  }

  @Example
  void testRequestStaysInItsRegions() {
    assertThat(RULES.permits(IN_N1, NORTH)).isTrue();
    assertThat(RULES.permits(IN_S1, NORTH)).isFalse();
    assertThat(RULES.refusal(IN_S1, NORTH)).contains(Refusal.REGION);
    assertThat(RULES.permits(IN_S1, ANYWHERE)).isTrue();
  }

  /** A server whose region is not known may be anywhere. */
  @Example
  void testUnknownFailureDomainIsInNoRegion() {
    assertThat(RULES.permits(IN_UNKNOWN, NORTH)).isFalse();
    assertThat(RULES.permits(IN_UNKNOWN, RegionRule.of(List.of("north", "south")))).isFalse();
    assertThat(RULES.permits(IN_UNKNOWN, ANYWHERE)).isTrue();
  }

  @Example
  void testEvacuatedFailureDomainGetsNothing() {
    PlacementRules rules = RULES.withEvacuated(Set.of("n1"));
    assertThat(rules.permits(IN_N1, ANYWHERE)).isFalse();
    assertThat(rules.refusal(IN_N1, NORTH)).contains(Refusal.EVACUATED);
    assertThat(rules.permits(IN_N2, NORTH)).isTrue();
    assertThat(rules.refusal(IN_N2, NORTH)).isEmpty();
    assertThat(rules.withEvacuated(Set.of()).permits(IN_N1, NORTH)).isTrue();
  }

  @Example
  void testCauseIsTheEvacuationIfAServerIsInAPermittedRegion() {
    Placement placement = RULES.withEvacuated(Set.of("n1", "n2")).within(NORTH);
    assertThat(placement.refusal(List.of(IN_S1, IN_N1))).contains(Refusal.EVACUATED);
    assertThat(placement.refusal(List.of(IN_N1, IN_S1))).contains(Refusal.EVACUATED);
    assertThat(placement.refusal(List.of(IN_S1))).contains(Refusal.REGION);
    assertThat(placement.refusal(List.of())).isEmpty();
  }

  @Example
  void testNothingIsRefusedIfOneServerIsPermitted() {
    Placement placement = RULES.withEvacuated(Set.of("n1")).within(NORTH);
    assertThat(placement.refusal(List.of(IN_S1, IN_N1, IN_N2))).isEmpty();
  }

  @Example
  void testInstancesComeBackSpreadOverATime() {
    assertThat(EvacuationReturn.usableAt(0, 5_000_000)).isEqualTo(5_000_000);
    assertThat(EvacuationReturn.usableAt(0.5, 5_000_000)).isEqualTo(5_500_000);
    assertThat(EvacuationReturn.usableAt(1, 5_000_000)).isEqualTo(6_000_000);
  }
}
