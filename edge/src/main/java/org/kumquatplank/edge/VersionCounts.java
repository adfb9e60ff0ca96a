package org.kumquatplank.edge;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.rollout.VersionStats;

/**
 * Counts of good and bad responses per version of each service, as seen by this instance.
 *
 * <p>Confined to the traffic thread.
 */
final class VersionCounts {
  private final Map<Key, VersionStats> counts = new HashMap<>();

  /** A version of a service. */
  record Key(String service, String version) {}

  void addSuccess(BackendServer server, double millisPerUnit) {
    add(server, new VersionStats(1, 0, Math.round(millisPerUnit), 0));
  }

  void addFailure(BackendServer server) {
    add(server, new VersionStats(0, 1, 0, 0));
  }

  private void add(BackendServer server, VersionStats evidence) {
    counts.merge(new Key(server.service(), server.softwareVersion()), evidence, VersionStats::plus);
  }

  /** Returns the number of in-flight requests per version of each service. */
  static Map<Key, Integer> inFlightByVersion(Collection<BackendState> backends) {
    Map<Key, Integer> result = new HashMap<>();
    for (BackendState state : backends) {
      BackendServer server = state.server();
      result.merge(
          new Key(server.service(), server.softwareVersion()),
          state.inFlightRequests(),
          Integer::sum);
    }
    return result;
  }

  /** Returns a copy of the counts. */
  Map<Key, VersionStats> snapshot() {
    return Map.copyOf(counts);
  }
}
