package org.kumquatplank.core.placement;

import java.util.Collection;
import java.util.Optional;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RegionRule;

/**
 * The placement rules in force for one request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rules rules for all requests
 * @param regions rule for the regions of the request
 */
public record Placement(PlacementRules rules, RegionRule regions) {
  /** Returns whether the request may be sent to a server. */
  public boolean permits(BackendServer server) {
    return rules.permits(server, regions);
  }

  /**
   * Returns why none of the servers may get the request, or nothing if there is none or one may.
   *
   * <p>If one of them is in a permitted region, the cause is that its failure domain is evacuated.
   */
  public Optional<PlacementRules.Refusal> refusal(Collection<BackendServer> servers) {
    Optional<PlacementRules.Refusal> result = Optional.empty();
    for (BackendServer server : servers) {
      Optional<PlacementRules.Refusal> refusal = rules.refusal(server, regions);
      if (refusal.isEmpty()) {
        return refusal;
      }
      if (result.isEmpty() || refusal.get() == PlacementRules.Refusal.EVACUATED) {
        result = refusal;
      }
    }
    return result;
  }
}
