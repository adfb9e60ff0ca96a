package org.kumquatplank.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.config.ConfigReducer;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.quality.QualityTracker;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.PeerLoad;
import org.kumquatplank.core.routing.Router;
import org.kumquatplank.core.routing.RoutingRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state that the control thread owns: configuration, membership, evidence and routing.
 *
 * <p>All methods run on the control thread, but for {@link #view()}.
 */
final class ControlState {
  private static final Logger LOG = LoggerFactory.getLogger(ControlState.class);
  private static final int REMEMBERED_VERDICTS = 1_000;

  private final String self;
  private final Freshness freshness;
  private final MicroClock clock;
  private final ConfigReducer reducer = ConfigReducer.create();
  private final QualityTracker quality = QualityTracker.create();
  private final Router router;
  private final Map<String, Ticket> tickets = new HashMap<>();
  private final Map<String, ConfigReducer.Verdict> verdicts =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ConfigReducer.Verdict> eldest) {
          return size() > REMEMBERED_VERDICTS;
        }
      };
  private final Map<String, PeerDigest> peers = new HashMap<>();
  private InstanceList list = InstanceList.empty();
  private volatile ControlSnapshot snapshot = ControlSnapshot.empty();

  /** What a peer said last of itself. */
  record PeerDigest(
      long configVersion, boolean draining, List<PeerLoad> loads, List<String> suspects) {}

  ControlState(String self, String region, Freshness freshness, MicroClock clock) {
    this.self = self;
    this.clock = clock;
    this.freshness = freshness;
    this.router = Router.create(self, region, quality);
  }

  ControlSnapshot snapshot() {
    return snapshot;
  }

  private void publishView() {
    Set<String> draining =
        peers.entrySet().stream()
            .filter(e -> e.getValue().draining())
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    snapshot = new ControlSnapshot(reducer.current(), reducer.isComplete(), reducer.nextOffset(), list, draining);
  }

  /** Takes in a page of the configuration stream. */
  void foldPage(LogPage page) {
    Configuration before = reducer.current();
    for (LogRecord record : page.records()) {
      Optional<ConfigEntry> entry = ConfigCodec.fromJson(record.text());
      entry.ifPresent(e -> foldEntry(record.offset(), e));
    }
    configurationMoved(before);
  }

  private void foldEntry(long offset, ConfigEntry entry) {
    ConfigReducer.Verdict verdict = reducer.fold(offset, entry);
    if (entry instanceof ConfigEntry.Change change && verdict != ConfigReducer.Verdict.NO_EFFECT) {
      verdicts.putIfAbsent(change.nonce(), verdict);
    }
  }

  /** Adopts the configuration of a peer that folded further. */
  void adopt(ConfigEntry.Snapshot snapshot) {
    Configuration before = reducer.current();
    reducer.adopt(snapshot.configuration(), snapshot.nextOffset());
    configurationMoved(before);
  }

  private void configurationMoved(Configuration before) {
    Configuration current = reducer.current();
    if (current.version() != before.version()) {
      reinstateChanged(before, current);
      router.setConfiguration(current);
      LOG.atInfo()
          .addKeyValue("event", "configuration_in_force")
          .addKeyValue("version", current.version())
          .log("configuration {} is in force", current.version());
    }
    freshness.ownVersion(current.version());
    publishView();
  }

  /** Operators who change a version want it judged anew. */
  private void reinstateChanged(Configuration before, Configuration current) {
    for (ModelVersion version : current.versions().values()) {
      boolean changed =
          before.findVersion(version.name()).map(v -> !v.equals(version)).orElse(true);
      if (changed) {
        quality.reinstate(version.name());
      }
    }
  }

  Optional<ConfigReducer.Verdict> verdictOf(String nonce) {
    return Optional.ofNullable(verdicts.get(nonce));
  }

  void setList(InstanceList newList) {
    list = newList;
    Set<String> others = new HashSet<>();
    for (ListedInstance entry : list.entries()) {
      others.add(entry.id());
    }
    List<String> all = new ArrayList<>(others);
    others.remove(self);
    if (!all.contains(self)) {
      all.add(self);
    }
    freshness.setListed(others);
    peers.keySet().retainAll(others);
    router.setInstances(list);
    router.setEntries(all);
    publishView();
  }

  void setPeer(String peer, PeerDigest digest) {
    peers.put(peer, digest);
    router.setPeerLoads(peer, digest.loads());
    router.setPeerSuspects(digest.suspects(), clock.micros());
    freshness.knownVersion(digest.configVersion());
    publishView();
  }

  /** Returns the engines that this instance has itself seen to be slow. */
  List<String> ownSuspects() {
    return router.ownSuspects(clock.micros());
  }

  /** Returns what each peer said last. */
  Map<String, PeerDigest> peers() {
    return Map.copyOf(peers);
  }

  Router router() {
    return router;
  }

  QualityTracker quality() {
    return quality;
  }

  /** Hands work to the router; its actions go to the ticket. */
  void submit(Ticket ticket, long now) {
    tickets.put(ticket.work().id(), ticket);
    deliver(router.submit(ticket.work(), now));
  }

  void tick(long now) {
    deliver(router.tick(now));
  }

  void finished(String workId, long tokens, boolean whole, long now) {
    tickets.remove(workId);
    deliver(router.finished(workId, tokens, whole, now));
  }

  void abandon(RoutingRequest request) {
    tickets.remove(request.id());
    deliver(router.abandon(request.id(), clock.micros()));
  }

  private void deliver(List<Action> actions) {
    for (Action action : actions) {
      Ticket ticket = tickets.get(action.request().id());
      if (action instanceof Action.Refuse) {
        tickets.remove(action.request().id());
      }
      if (ticket != null) {
        ticket.deliver(action);
      }
    }
  }
}
