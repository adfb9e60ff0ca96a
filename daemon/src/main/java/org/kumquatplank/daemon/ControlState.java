package org.kumquatplank.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * State owned by the control thread: configuration, membership, quality ratings and routing.
 *
 * <p>Not thread-safe: all methods except {@link #snapshot()} must run on the control thread.
 */
final class ControlState {
  private static final Logger LOG = LoggerFactory.getLogger(ControlState.class);

  private final String self;
  private final Freshness freshness;
  private final MicroClock clock;
  private final ConfigReducer reducer = ConfigReducer.create();
  private final QualityTracker quality = QualityTracker.create();
  private final Router router;
  private final Map<String, ActionQueue> actionQueues = new HashMap<>();
  private final Map<String, PeerDigest> peerDigests = new HashMap<>();
  private InstanceList instances = InstanceList.empty();
  private volatile ControlSnapshot snapshot = ControlSnapshot.empty();

  /**
   * State that a peer reported in its most recent digest.
   *
   * @param configVersion version of the peer's configuration
   * @param draining whether the peer is shutting down
   * @param loads requests that the peer has in flight, per backend server
   * @param suspects engines that the peer has observed to be slow
   */
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

  private void publishSnapshot() {
    Set<String> draining =
        peerDigests.entrySet().stream()
            .filter(e -> e.getValue().draining())
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    snapshot =
        new ControlSnapshot(
            reducer.current(), reducer.isComplete(), reducer.nextOffset(), instances, draining);
  }

  /** Applies a page of the configuration stream. */
  void applyPage(LogPage page) {
    Configuration previous = reducer.current();
    reducer.markMissingBefore(page.firstRetained());
    for (LogRecord record : page.records()) {
      Optional<ConfigEntry> entry = ConfigCodec.fromJson(record.text());
      entry.ifPresentOrElse(
          e -> reducer.apply(record.offset(), e), () -> skipRecord(record.offset()));
    }
    onConfigurationApplied(previous);
  }

  private void skipRecord(long offset) {
    reducer.skip(offset);
    LOG.warn("malformed record in stream {} at offset {}", ConfigFollower.STREAM, offset);
  }

  /** Adopts a configuration snapshot from a peer that has read further in the stream. */
  void adoptSnapshot(ConfigEntry.Snapshot snapshot) {
    Configuration previous = reducer.current();
    reducer.adopt(snapshot.configuration(), snapshot.nextOffset());
    onConfigurationApplied(previous);
  }

  private void onConfigurationApplied(Configuration previous) {
    Configuration current = reducer.current();
    if (current.version() != previous.version()) {
      reinstateChanged(previous, current);
      router.setConfiguration(current);
      LOG.atInfo()
          .addKeyValue("event", "configuration_in_force")
          .addKeyValue("version", current.version())
          .log("configuration {} is in force", current.version());
    }
    freshness.setOwnVersion(current.version());
    publishSnapshot();
  }

  /**
   * Discards the ratings and demotions of each version that is new or whose definition changed.
   *
   * <p>They describe the old definition, and operators who change a version expect a new
   * evaluation.
   */
  private void reinstateChanged(Configuration previous, Configuration current) {
    for (ModelVersion version : current.versions().values()) {
      boolean changed =
          previous.findVersion(version.name()).map(v -> !v.equals(version)).orElse(true);
      if (changed) {
        quality.reset(version.name());
      }
    }
  }

  void setInstances(InstanceList newInstances) {
    instances = newInstances;
    Set<String> others = new HashSet<>();
    for (ListedInstance entry : instances.entries()) {
      others.add(entry.id());
    }
    List<String> entryIds = new ArrayList<>(others);
    others.remove(self);
    if (!entryIds.contains(self)) {
      entryIds.add(self);
    }
    freshness.setListed(others);
    peerDigests.keySet().retainAll(others);
    router.setInstanceList(instances);
    router.setLiveInstances(entryIds);
    publishSnapshot();
  }

  void setPeerDigest(String peer, PeerDigest digest) {
    peerDigests.put(peer, digest);
    router.setPeerLoads(peer, digest.loads());
    router.recordPeerSuspects(digest.suspects(), clock.micros());
    freshness.observeVersion(digest.configVersion());
    publishSnapshot();
  }

  /** Returns the engines that this instance has observed to be slow. */
  List<String> ownSuspects() {
    return router.ownSuspects(clock.micros());
  }

  /** Returns the most recent digest of each peer, by instance id. */
  Map<String, PeerDigest> peerDigests() {
    return Map.copyOf(peerDigests);
  }

  Router router() {
    return router;
  }

  QualityTracker quality() {
    return quality;
  }

  /** Submits a request to the router, which adds its actions to the request's queue. */
  void submit(ActionQueue actionQueue, long now) {
    actionQueues.put(actionQueue.request().id(), actionQueue);
    enqueue(router.submit(actionQueue.request(), now));
  }

  void tick(long now) {
    enqueue(router.tick(now));
  }

  void finished(String requestId, long tokens, boolean complete, long now) {
    actionQueues.remove(requestId);
    enqueue(router.recordEnd(requestId, tokens, complete, now));
  }

  void abandon(RoutingRequest request) {
    actionQueues.remove(request.id());
    enqueue(router.cancel(request.id(), clock.micros()));
  }

  /** Adds each action to the queue of its request. */
  private void enqueue(List<Action> actions) {
    for (Action action : actions) {
      ActionQueue actionQueue = actionQueues.get(action.request().id());
      if (action instanceof Action.Reject) {
        actionQueues.remove(action.request().id());
      }
      if (actionQueue != null) {
        actionQueue.add(action);
      }
    }
  }
}
