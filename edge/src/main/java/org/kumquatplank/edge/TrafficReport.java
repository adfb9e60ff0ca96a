package org.kumquatplank.edge;

import java.util.List;
import java.util.Map;
import org.kumquatplank.core.dispatch.CrashEvidence;
import org.kumquatplank.core.dispatch.LeavingServer;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.pace.PaceReport;
import org.kumquatplank.core.placement.ColdNews;
import org.kumquatplank.core.rollout.VersionStats;

/**
 * The state that the data plane reports to the control plane, a few times a second.
 *
 * <p>Immutable and thread-safe.
 *
 * @param loads in-flight load of this instance per backend server
 * @param leaving backend servers that are known to leave
 * @param cold backend servers that are known to be cold
 * @param paces pace of backend servers that differ from their service, as this instance observed
 * @param evidence responses per version since the start, and in-flight requests
 * @param crashEvidence crashes of backend servers that are known
 * @param ready whether requests can be served
 */
record TrafficReport(
    List<PeerLoad> loads,
    List<LeavingServer> leaving,
    List<ColdNews> cold,
    List<PaceReport> paces,
    Map<VersionCounts.Key, VersionStats> evidence,
    CrashEvidence crashEvidence,
    boolean ready) {
  static final TrafficReport NOTHING =
      new TrafficReport(
          List.of(), List.of(), List.of(), List.of(), Map.of(), CrashEvidence.NONE, false);

  TrafficReport {
    loads = List.copyOf(loads);
    leaving = List.copyOf(leaving);
    cold = List.copyOf(cold);
    paces = List.copyOf(paces);
    evidence = Map.copyOf(evidence);
  }
}
