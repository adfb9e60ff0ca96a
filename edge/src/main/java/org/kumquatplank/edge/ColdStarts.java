package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.catalog.ColdStart;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.placement.ColdNews;
import org.kumquatplank.core.placement.ColdServers;
import org.kumquatplank.core.placement.Member;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.platform.wire.BackendResponseHead;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * Passes the news of cold backend servers to the decisions on them, and counts and logs these.
 *
 * <p>Confined to the traffic thread.
 */
final class ColdStarts {
  private final ConfirmedCatalog catalog;
  private final EdgeMetrics metrics;
  private final ColdServers servers;

  ColdStarts(EdgeSettings settings, ConfirmedCatalog catalog, EdgeMetrics metrics) {
    this.catalog = catalog;
    this.metrics = metrics;
    this.servers =
        ColdServers.create(
            new ColdServers.Settings(
                new Member(settings.instance(), settings.zone(), settings.region()),
                settings.regions(),
                settings.limits().coldOverrunRatio(),
                settings.limits().coldAllowance()),
            this::coldStart,
            Clock.micros());
  }

  private Optional<ColdStart> coldStart(String service) {
    return catalog.catalog().flatMap(c -> c.service(service)).flatMap(ServiceInfo::coldStart);
  }

  void onListed(Collection<BackendState> listed) {
    long now = Clock.micros();
    listed.forEach(backend -> backend.setColdServer(servers.onListed(backend.server(), now)));
    servers.onListEnd(now);
    logChanges();
  }

  /** Takes over what peers know, and which of them accept requests. */
  void onControlReport(List<EdgeDigest> readyPeers, Collection<ColdNews> news) {
    long now = Clock.micros();
    List<Member> members = new ArrayList<>(readyPeers.size());
    for (EdgeDigest peer : readyPeers) {
      members.add(new Member(peer.getInstance(), peer.getZone(), peer.getRegion()));
    }
    servers.setMembers(members, now);
    servers.onPeerNews(news, now);
    logChanges();
  }

  /** Takes over what a response of the server itself says. */
  void onResponse(BackendState backend, BackendResponseHead response) {
    if (response.coldRemainingMillis().isPresent()) {
      long remainingMillis = response.coldRemainingMillis().getAsLong();
      servers.onResponse(backend.server(), remainingMillis, Clock.micros());
      logChanges();
    }
  }

  /** Counts a request that is about to be sent. */
  void onSend(BackendState backend, long now) {
    if (backend.coldServer().isCold(now)) {
      metrics.count("cold_requests");
    }
  }

  /** Counts a request that has to wait, or is refused, while a backend server for it is cold. */
  void onNotSent(List<BackendState> candidates, boolean refused, long now) {
    if (refused) {
      metrics.count("refused_cold");
      return;
    }
    for (BackendState backend : candidates) {
      if (backend.coldServer().isCold(now)) {
        metrics.count("cold_held_back");
        return;
      }
    }
  }

  /** Returns the backend servers that are known to be cold. */
  List<ColdNews> cold() {
    return servers.cold(Clock.micros());
  }

  private void logChanges() {
    List<ColdServers.Change> changes = servers.takeChanges();
    if (changes.isEmpty()) {
      return;
    }
    metrics.gauge("cold_servers", servers.cold(Clock.micros()).size());
    for (ColdServers.Change change : changes) {
      if (change.source().isPresent()) {
        EdgeLog.event("backend_cold")
            .addKeyValue("backend", change.id())
            .addKeyValue("source", change.source().get())
            .addKeyValue("remaining_ms", change.remainingMillis())
            .log();
      } else {
        EdgeLog.event("backend_warm").addKeyValue("backend", change.id()).log();
      }
    }
  }
}
