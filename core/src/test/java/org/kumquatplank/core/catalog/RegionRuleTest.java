package org.kumquatplank.core.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.Example;

class RegionRuleTest {
  private static final RegionRule NORTH = RegionRule.of(List.of("north"));
  private static final RegionRule BOTH = RegionRule.of(List.of("north", "south"));

  @Example
  void testEmptyListPermitsEveryRegion() {
    assertThat(RegionRule.of(List.of())).isEqualTo(new RegionRule.Anywhere());
    assertThat(RegionRule.of(List.of()).permits("north")).isTrue();
    assertThat(NORTH.permits("north")).isTrue();
    assertThat(NORTH.permits("south")).isFalse();
  }

  @Example
  void testBothRulesBind() {
    assertThat(NORTH.and(BOTH)).isEqualTo(NORTH);
    assertThat(BOTH.and(NORTH)).isEqualTo(NORTH);
    assertThat(NORTH.and(new RegionRule.Anywhere())).isEqualTo(NORTH);
    assertThat(new RegionRule.Anywhere().and(NORTH)).isEqualTo(NORTH);
  }

  /** Guards against an empty intersection that is taken for a rule that permits every region. */
  @Example
  void testRulesWithoutACommonRegionPermitNone() {
    RegionRule none = NORTH.and(RegionRule.of(List.of("south")));
    assertThat(none).isEqualTo(new RegionRule.Only(Set.of()));
    assertThat(none.permits("north")).isFalse();
    assertThat(none.permits("south")).isFalse();
    assertThat(none.and(new RegionRule.Anywhere()).permits("north")).isFalse();
  }

  @Example
  void testCatalogTellsTheRegionsOfARouteAndAnAccount() {
    Catalog catalog =
        Catalog.of(
            1,
            List.of(route("bound", BOTH), route("free", new RegionRule.Anywhere())),
            List.of(),
            Optional.of(Map.of("key", new CredentialOwner("account", NORTH, OptionalInt.empty()))),
            CallerLimits.INITIAL);
    assertThat(catalog.regions("bound", "account")).contains(NORTH);
    assertThat(catalog.regions("bound", "")).contains(BOTH);
    assertThat(catalog.regions("free", "account")).contains(NORTH);
    assertThat(catalog.regions("free", "")).contains(new RegionRule.Anywhere());
    assertThat(catalog.regions("free", "removed")).isEmpty();
    assertThat(catalog.regions("removed", "")).isEmpty();
  }

  private static Route route(String name, RegionRule regions) {
    return new Route(
        name,
        "h",
        "/" + name + "/",
        RetrySafety.IDEMPOTENT,
        false,
        List.of(new ServiceShare("pool", 1)),
        1_000,
        100,
        100,
        1,
        1,
        true,
        false,
        regions,
        List.of());
  }
}
