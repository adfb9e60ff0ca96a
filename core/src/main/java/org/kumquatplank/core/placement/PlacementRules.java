package org.kumquatplank.core.placement;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RegionRule;

/**
 * Decides which backend servers a request may be sent to, by their failure domains.
 *
 * <p>Answers traffic whose routes or client accounts are bound to some regions, and orders of the
 * operator to send nothing more to a failure domain: a retry, a resumed stream or a queued request
 * must not reach a server that the first send would not have been allowed to reach. Immutable and
 * thread-safe.
 *
 * @param regionByFailureDomain region of each failure domain
 * @param evacuated evacuated failure domains
 */
public record PlacementRules(Map<String, String> regionByFailureDomain, Set<String> evacuated) {
  /** Region of a failure domain that is not configured; no rule for regions names it. */
  private static final String UNKNOWN_REGION = "";

  /** Copies the collections. */
  public PlacementRules {
    regionByFailureDomain = Map.copyOf(regionByFailureDomain);
    evacuated = Set.copyOf(evacuated);
  }

  /** Why a request may not be sent to a backend server. */
  public enum Refusal {
    /** The rule for regions does not permit the region of the server. */
    REGION,
    /** The failure domain of the server is evacuated. */
    EVACUATED
  }

  /** Returns the rules without any evacuated failure domain. */
  public static PlacementRules of(Map<String, String> regionByFailureDomain) {
    return new PlacementRules(regionByFailureDomain, Set.of());
  }

  /** Returns the rules with another set of evacuated failure domains. */
  public PlacementRules withEvacuated(Set<String> failureDomains) {
    return new PlacementRules(regionByFailureDomain, failureDomains);
  }

  /** Returns the placement of a request that is bound to regions. */
  public Placement within(RegionRule regions) {
    return new Placement(this, regions);
  }

  /** Returns whether the failure domain of a server is evacuated. */
  public boolean isEvacuated(BackendServer server) {
    return evacuated.contains(server.failureDomain());
  }

  /** Returns why a request that is bound to regions may not be sent to a server, if so. */
  public Optional<Refusal> refusal(BackendServer server, RegionRule regions) {
    if (!isInRegions(server, regions)) {
      return Optional.of(Refusal.REGION);
    }
    return isEvacuated(server) ? Optional.of(Refusal.EVACUATED) : Optional.empty();
  }

  /** Returns whether a request that is bound to regions may be sent to a server. */
  public boolean permits(BackendServer server, RegionRule regions) {
    return isInRegions(server, regions) && !isEvacuated(server);
  }

  private boolean isInRegions(BackendServer server, RegionRule regions) {
    return regions instanceof RegionRule.Anywhere
        || regions.permits(
            regionByFailureDomain.getOrDefault(server.failureDomain(), UNKNOWN_REGION));
  }
}
