package org.kumquatplank.edge;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kumquatplank.core.dispatch.LeavingServer;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.pace.PaceReport;
import org.kumquatplank.core.placement.ColdNews;
import org.kumquatplank.link.proto.EdgeDigest;

/**
 * The state that the control plane reports to the data plane, a few times a second.
 *
 * <p>Immutable and thread-safe.
 *
 * @param readyPeers last digests of the peers that accept requests
 * @param liveInstances number of live instances including this one
 * @param loads in-flight load of the peers that reported it since the last report, by instance
 * @param leaving backend servers that peers reported to leave since the last report
 * @param cold backend servers that peers reported to be cold since the last report
 * @param paces pace of backend servers that peers observed since the last report, by instance
 * @param sendsTrials whether this instance is the one that sends trials of blocked segments
 * @param catalogConfirmedAt when the configuration was last confirmed, microseconds
 */
record ControlReport(
    List<EdgeDigest> readyPeers,
    int liveInstances,
    Map<String, List<PeerLoad>> loads,
    Set<LeavingServer> leaving,
    List<ColdNews> cold,
    Map<String, List<PaceReport>> paces,
    boolean sendsTrials,
    long catalogConfirmedAt) {
  ControlReport {
    readyPeers = List.copyOf(readyPeers);
    loads = Map.copyOf(loads);
    leaving = Set.copyOf(leaving);
    cold = List.copyOf(cold);
    paces = Map.copyOf(paces);
  }
}
