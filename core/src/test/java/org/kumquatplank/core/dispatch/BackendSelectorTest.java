package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.ColdStart;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.pace.PaceReport;
import org.kumquatplank.core.placement.ColdServers;
import org.kumquatplank.core.placement.Member;
import org.kumquatplank.core.placement.Placement;
import org.kumquatplank.core.placement.PlacementRules;

class BackendSelectorTest {
  private static final Locality LOCALITY =
      new Locality("a", Map.of("a", "r", "b", "r", "c", "far"));
  private static final List<BackendServer> SERVERS =
      List.of(
          Samples.server("s1", "pool", "a", "v1"),
          Samples.server("s2", "pool", "a", "v1"),
          Samples.server("s3", "pool", "c", "v1"));

  private final BackendRegistry registry = BackendRegistry.create();
  private final BackendSelector selector = BackendSelector.create(LOCALITY, new PrefillRate());

  private Optional<BackendSelector.Selection> select(
      DispatchRequest request, ServiceInfo service, long now) {
    BackendSelector.Constraints constraints =
        new BackendSelector.Constraints(
            service, Optional.of("large"), new VersionRule.Any(), Samples.ANYWHERE, Set.of(), 1);
    return selector.select(registry.forService("pool"), request, constraints, now);
  }

  private static String idOf(Optional<BackendSelector.Selection> selection) {
    return selection.map(s -> s.backend().server().id()).orElse("none");
  }

  private BackendState state(String id) {
    return registry.all().stream()
        .filter(s -> s.server().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against herding: instances with equal views must not all select one idle server. */
  @Example
  void testRotatesAmongEqualServers() {
    registry.setServers(SERVERS);
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      chosen.add(idOf(select(Samples.request(Samples.safe(), "x" + i), Samples.PLAIN, 0)));
    }
    assertThat(chosen).containsExactlyInAnyOrder("s1", "s2");
  }

  /** A cold server in the own failure domain is used only when the distant ones have no room. */
  @Example
  void testColdServerIsTheLastChoice() {
    long settled = 60_000_000;
    registry.setServers(SERVERS);
    ColdServers cold =
        ColdServers.create(
            new ColdServers.Settings(new Member("self", "a", "r"), Map.of("a", "r"), 1.5, 5),
            service -> Optional.of(new ColdStart(12_000, 12)),
            0);
    for (BackendState state : registry.all()) {
      state.setColdServer(cold.onListed(state.server(), 0));
    }
    cold.setMembers(List.of(), settled);
    state("s2").markRemoved();
    cold.onResponse(state("s1").server(), 12_000, settled);
    long now = settled + 2_000_000;
    DispatchRequest request = Samples.request(Samples.stream(3), "x");
    assertThat(state("s1").takesAnother(now)).isTrue();
    assertThat(idOf(select(request, Samples.ENGINE, now))).isEqualTo("s3");
    for (int i = 0; i < 6; i++) {
      state("s3").requestStarted(0);
    }
    assertThat(idOf(select(request, Samples.ENGINE, now))).isEqualTo("s1");
    selector.recordSend(
        select(request, Samples.ENGINE, now).orElseThrow(),
        request,
        new BackendSelector.Constraints(
            Samples.ENGINE,
            Optional.of("large"),
            new VersionRule.Any(),
            Samples.ANYWHERE,
            Set.of(),
            1),
        now);
    assertThat(idOf(select(request, Samples.ENGINE, now))).isEqualTo("none");
  }

  /** The prefill of long prompts at an engine delays all later requests there. */
  @Example
  void testAvoidsServerWithPendingPrefill() {
    registry.setServers(SERVERS);
    state("s1").requestStarted(30_000);
    for (int i = 0; i < 4; i++) {
      assertThat(idOf(select(Samples.request(Samples.stream(3), "x" + i), Samples.ENGINE, 0)))
          .isEqualTo("s2");
    }
  }

  /** Pending prefill of peers counts like that of this instance until their digest expires. */
  @Example
  void testCountsPeerLoadUntilItExpires() {
    registry.setServers(SERVERS);
    registry.setPeerLoads("peer", List.of(new PeerLoad("s2", 3, 40_000, false)), 0);
    assertThat(idOf(select(Samples.request(Samples.stream(3), "x"), Samples.ENGINE, 10)))
        .isEqualTo("s1");
    assertThat(state("s2").totalPendingPrefillTokens(2_000_000)).isZero();
  }

  @Example
  void testSelectsOtherRegionOnlyIfOwnRegionIsFull() {
    registry.setServers(SERVERS);
    for (int i = 0; i < 6; i++) {
      state("s1").requestStarted(0);
      state("s2").requestStarted(0);
    }
    assertThat(idOf(select(Samples.request(Samples.stream(3), "x"), Samples.ENGINE, 0)))
        .isEqualTo("s3");
  }

  @Example
  void testSelectsNothingIfAllServersAreFull() {
    registry.setServers(SERVERS);
    SERVERS.forEach(
        s -> {
          for (int i = 0; i < 6; i++) {
            state(s.id()).requestStarted(0);
          }
        });
    assertThat(select(Samples.request(Samples.stream(3), "x"), Samples.ENGINE, 0)).isEmpty();
  }

  @Example
  void testSelectsSuspectServerOnlyAsLastResort() {
    registry.setServers(SERVERS);
    state("s1").recordFailure(0);
    assertThat(idOf(select(Samples.request(Samples.stream(3), "x"), Samples.ENGINE, 1)))
        .isEqualTo("s2");
    state("s2").recordFailure(0);
    state("s3").recordFailure(0);
    assertThat(select(Samples.request(Samples.stream(3), "x"), Samples.ENGINE, 1)).isPresent();
  }

  @Example
  void testSelectsServerWithCachedPrefix() {
    registry.setServers(SERVERS);
    List<PromptSegment> segments = new ArrayList<>();
    segments.add(new PromptSegment("subject", 6_000));
    segments.add(new PromptSegment("own", 500));
    DispatchRequest first = Samples.request(Samples.stream(3), "x");
    DispatchRequest request =
        new DispatchRequest(
            "x",
            first.route(),
            "pool",
            "t",
            1,
            new RegionRule.Anywhere(),
            Optional.empty(),
            segments,
            6_500,
            100,
            0,
            1_000);
    BackendSelector.Selection selection = select(request, Samples.ENGINE, 0).orElseThrow();
    selector.recordSend(
        selection,
        request,
        new BackendSelector.Constraints(
            Samples.ENGINE,
            Optional.of("large"),
            new VersionRule.Any(),
            Samples.ANYWHERE,
            Set.of(),
            1),
        0);
    for (int i = 1; i < 5; i++) {
      BackendSelector.Selection repeated = select(request, Samples.ENGINE, i).orElseThrow();
      assertThat(repeated.backend()).isSameAs(selection.backend());
      assertThat(repeated.prefillTokens()).isEqualTo(500);
    }
  }

  @Example
  void testReplacedProcessLosesItsState() {
    registry.setServers(SERVERS);
    BackendState before = state("s1");
    before.requestStarted(100);
    BackendServer replacement =
        new BackendServer("s1", 2, "pool", "127.0.0.1", 1, "a", "v1", 6, 0, false);
    assertThat(registry.setServers(List.of(replacement))).contains(before);
    assertThat(before.isClosed()).isTrue();
    assertThat(state("s1").inFlightRequests()).isZero();
  }

  private BackendSelector.Constraints constraints(Placement placement) {
    return new BackendSelector.Constraints(
        Samples.ENGINE, Optional.of("large"), new VersionRule.Any(), placement, Set.of(), 1);
  }

  /** A full or closed server of its own region sends no request out of its regions. */
  @Example
  void testRequestStaysInItsRegionsAlsoIfTheyAreFull() {
    registry.setServers(SERVERS);
    PlacementRules rules = PlacementRules.of(Map.of("a", "r", "b", "r", "c", "far"));
    Placement near = rules.within(RegionRule.of(List.of("r")));
    DispatchRequest request = Samples.request(Samples.stream(3), "x");
    for (int i = 0; i < 6; i++) {
      state("s1").requestStarted(0);
      state("s2").requestStarted(0);
    }
    List<BackendState> servers = registry.forService("pool");
    assertThat(selector.select(servers, request, constraints(near), 0)).isEmpty();
    assertThat(selector.isServable(servers, request, constraints(near))).isTrue();
    Placement far = rules.within(RegionRule.of(List.of("far")));
    assertThat(idOf(selector.select(servers, request, constraints(far), 0))).isEqualTo("s3");
    Placement none = rules.within(new RegionRule.Only(Set.of()));
    assertThat(selector.isServable(servers, request, constraints(none))).isFalse();
    assertThat(selector.placementRefusal(servers, request, constraints(none)))
        .contains(PlacementRules.Refusal.REGION);
  }

  @Example
  void testEvacuatedServerIsNeitherSelectedNorAwaited() {
    registry.setServers(SERVERS);
    PlacementRules rules = PlacementRules.of(Map.of("a", "r", "b", "r", "c", "far"));
    Placement placement = rules.withEvacuated(Set.of("a")).within(new RegionRule.Anywhere());
    DispatchRequest request = Samples.request(Samples.stream(3), "x");
    List<BackendState> servers = registry.forService("pool");
    state("s3").backOff(700, 0);
    assertThat(selector.select(servers, request, constraints(placement), 0)).isEmpty();
    assertThat(selector.opensAt(servers, request, constraints(placement), 0)).hasValue(700);
    Placement all = rules.withEvacuated(Set.of("a", "c")).within(new RegionRule.Anywhere());
    assertThat(selector.isServable(servers, request, constraints(all))).isFalse();
    assertThat(selector.placementRefusal(servers, request, constraints(all)))
        .contains(PlacementRules.Refusal.EVACUATED);
  }

  /** Else a prefix that prefers an evacuated server would have no preferred one at all. */
  @Example
  void testPrefixPrefersAServerThatIsPermitted() {
    registry.setServers(SERVERS);
    List<BackendState> servers = registry.forService("pool");
    PlacementRules rules = PlacementRules.of(Map.of("a", "r", "b", "r", "c", "far"));
    DispatchRequest request = Samples.request(Samples.stream(3), "x");
    String preferred = idOf(selector.select(servers, request, constraints(Samples.ANYWHERE), 0));
    BackendServer moved = Samples.server(preferred, "pool", "b", "v1");
    List<BackendServer> withMoved = new ArrayList<>(SERVERS);
    withMoved.removeIf(s -> s.id().equals(preferred));
    withMoved.add(moved);
    registry.setServers(withMoved);
    Placement placement = rules.withEvacuated(Set.of("b")).within(new RegionRule.Anywhere());
    BackendSelector.Selection selection =
        selector
            .select(registry.forService("pool"), request, constraints(placement), 0)
            .orElseThrow();
    assertThat(selection.backend().server().id()).isNotEqualTo(preferred);
    assertThat(selection.prefillTokens()).isEqualTo(1_700);
  }

  private void reportPace(String id, int slowdownPercent, int limit) {
    for (int peer = 0; peer < 4; peer++) {
      registry.addPaces(
          "peer" + peer, List.of(new PaceReport(id, 1, slowdownPercent, limit, 6)), 0);
    }
  }

  /** A learned limit prefers other servers, but never causes a refusal. */
  @Example
  void testServersAtTheirLearnedLimitAreUsedUpToTheirSlots() {
    registry.setServers(SERVERS.subList(0, 2));
    reportPace("s1", 100, 2);
    for (int i = 0; i < 2; i++) {
      state("s1").requestStarted(0);
    }
    for (int i = 0; i < 5; i++) {
      state("s2").requestStarted(0);
    }
    DispatchRequest request = Samples.request(Samples.stream(3), "x");
    assertThat(idOf(select(request, Samples.ENGINE, 0))).isEqualTo("s2");
    state("s2").requestStarted(0);
    assertThat(idOf(select(request, Samples.ENGINE, 0))).isEqualTo("s1");
    for (int i = 2; i < 6; i++) {
      assertThat(select(request, Samples.ENGINE, 0)).isPresent();
      state("s1").requestStarted(0);
    }
    assertThat(select(request, Samples.ENGINE, 0)).isEmpty();
  }

  @Example
  void testExpectsMoreTimeOfSlowServer() {
    registry.setServers(SERVERS.subList(0, 1));
    DispatchRequest request = Samples.request(Samples.stream(3), "x");
    double usual = select(request, Samples.ENGINE, 0).orElseThrow().expectedLatencyMicros();
    reportPace("s1", 200, 0);
    BackendSelector.Selection slow = select(request, Samples.ENGINE, 300_000).orElseThrow();
    assertThat(slow.expectedLatencyMicros()).isBetween(1.4 * usual, 2.1 * usual);
    assertThat(slow.usualMicros()).isBetween(0.99 * usual, 1.01 * usual);
  }

  /** A slow new version must get its share, so that its trial shows that it is slow. */
  @Example
  void testSlowVersionOnTrialGetsItsShare() {
    registry.setServers(
        List.of(Samples.server("s1", "pool", "a", "v1"), Samples.server("s2", "pool", "a", "v2")));
    reportPace("s2", 400, 1);
    state("s2").requestStarted(0);
    BackendSelector.Constraints trial =
        new BackendSelector.Constraints(
            Samples.ENGINE,
            Optional.of("large"),
            new VersionRule.Trial("v2", 0.5, true),
            Samples.ANYWHERE,
            Set.of(),
            1);
    int onTrial = 0;
    for (int i = 0; i < 200; i++) {
      DispatchRequest request = Samples.request(Samples.stream(3), "x" + i);
      boolean isTrial =
          idOf(selector.select(registry.forService("pool"), request, trial, 0)).equals("s2");
      onTrial += isTrial ? 1 : 0;
    }
    assertThat(onTrial).isBetween(80, 120);
  }
}
