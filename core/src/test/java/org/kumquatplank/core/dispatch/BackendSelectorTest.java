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
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.pace.PaceReport;

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
            service, Optional.of("large"), new VersionRule.Any(), Set.of(), 1);
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
            Samples.ENGINE, Optional.of("large"), new VersionRule.Any(), Set.of(), 1),
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
