package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.catalog.RetrySafety;
import org.kumquatplank.core.catalog.Route;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.catalog.ServiceShare;
import org.kumquatplank.core.placement.Placement;
import org.kumquatplank.core.placement.PlacementRules;

/** Sample routes, requests and servers for the tests of this package. */
public final class Samples {
  public static final long MICROS_PER_MILLI = 1_000;
  public static final ServiceInfo ENGINE =
      new ServiceInfo("pool", 600, Optional.empty(), Map.of("small", 0.02, "large", 0.3));
  public static final ServiceInfo PLAIN = new ServiceInfo("desk", 96, Optional.empty(), Map.of());

  public static final Placement ANYWHERE =
      PlacementRules.of(Map.of()).within(new RegionRule.Anywhere());

  private Samples() {}

  /** Returns a resumable streaming route of an engine. */
  public static Route stream(int maxAttempts) {
    return new Route(
        "tell",
        "h",
        "/tell/",
        RetrySafety.RESUMABLE,
        true,
        List.of(new ServiceShare("pool", 1)),
        20_000,
        2_000,
        800,
        1,
        maxAttempts,
        false,
        true,
        new RegionRule.Anywhere(),
        List.of("small", "middle", "large"));
  }

  /** Returns an idempotent route of a plain service. */
  public static Route safe() {
    return new Route(
        "read",
        "h",
        "/read/",
        RetrySafety.IDEMPOTENT,
        false,
        List.of(new ServiceShare("desk", 1)),
        3_000,
        400,
        0,
        2,
        2,
        false,
        false,
        new RegionRule.Anywhere(),
        List.of());
  }

  public static DispatchRequest request(
      Route route, String id, String account, int priority, long arrived) {
    List<PromptSegment> segments =
        route.stream()
            ? List.of(new PromptSegment("system", 500), new PromptSegment(id + "-own", 1_500))
            : List.of();
    return new DispatchRequest(
        id,
        route,
        route.serviceShares().get(0).service(),
        account,
        priority,
        new RegionRule.Anywhere(),
        Optional.empty(),
        segments,
        route.stream() ? 2_000 : 0,
        100,
        arrived,
        arrived + route.timeoutMillis() * MICROS_PER_MILLI);
  }

  public static DispatchRequest request(Route route, String id) {
    return request(route, id, "t", 1, 0);
  }

  public static BackendServer server(String id, String service, String zone, String version) {
    return new BackendServer(id, 1, service, "127.0.0.1", 1, zone, version, 6, 0, false);
  }
}
