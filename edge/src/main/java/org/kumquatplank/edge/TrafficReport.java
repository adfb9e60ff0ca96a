package org.kumquatplank.edge;

import java.util.List;
import java.util.Map;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.rollout.Evidence;

/**
 * What the traffic thread tells the control thread, a few times a second.
 *
 * <p>Immutable and thread-safe.
 *
 * @param loads work of this instance at each backend server
 * @param answers answers of each version that were seen since the start, with those under way
 * @param ready whether requests can be served
 */
record TrafficReport(
    List<PeerLoad> loads, Map<VersionCounts.Key, Evidence> answers, boolean ready) {
  static final TrafficReport NOTHING = new TrafficReport(List.of(), Map.of(), false);

  TrafficReport {
    loads = List.copyOf(loads);
    answers = Map.copyOf(answers);
  }
}
