package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.LeavingServer;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.membership.Succession;
import org.kumquatplank.core.placement.ColdNews;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.ReaderElection;
import org.kumquatplank.core.relay.TopicUpdate;
import org.kumquatplank.link.proto.CatalogOffer;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.CatalogDecoder;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * The control state: configuration, backend servers, other instances and roll-outs.
 *
 * <p>Confined to the control thread. Passes the configuration, servers and rules in force to the
 * data plane.
 */
final class ControlPlane {
  private static final String OPERATOR_TOPIC = "op";
  private static final String SERVERS_TOPIC = "servers";

  /** Long-poll wait: the store returns a change at once, and a dead connection shows after this. */
  private static final long OPERATOR_LONG_POLL_MILLIS = 1_000;

  /** Poll interval; the list changes all the time. Well under the time that a drain takes. */
  private static final long SERVERS_POLL_INTERVAL_MILLIS = 800;

  private static final long DIGEST_INTERVAL_MILLIS = 250;

  /**
   * Number of peers above which digests are sent less often: each peer then adds little load to a
   * backend server, while the datagrams would add up.
   */
  private static final int MANY_INSTANCES = 12;

  private static final long MANY_INSTANCES_DIGEST_INTERVAL_MILLIS = 500;
  private static final long PERIODIC_TASK_INTERVAL_MILLIS = 300;

  /**
   * How long updates of a peer count as current, so that this instance need not read the store:
   * bridges two lost datagrams, and is well under a bound of 3 s.
   */
  private static final long UPDATE_FRESH_MICROS = 2_200_000;

  private final EdgeSettings settings;
  private final EventLoop loop;
  private final DataPlane dataPlane;
  private final StoreClient store;
  private final ServerList servers = ServerList.create();
  private final RolloutManager rollouts;
  private final EvacuationManager evacuations = new EvacuationManager();
  private final PeerDirectory directory;
  private final InstanceDiscovery discovery;
  private final OperatorTopic operatorTopic;
  private final StoreFollower operatorRecords;
  private final StoreFollower serverRecords;
  private final CatalogState catalog;
  private Map<String, VersionRule> versionRules = Map.of();
  private volatile TrafficReport trafficReport = TrafficReport.NOTHING;
  private final Map<String, List<PeerLoad>> receivedLoads = new HashMap<>();
  private final Set<LeavingServer> receivedLeaving = new HashSet<>();
  private final List<ColdNews> receivedCold = new ArrayList<>();
  private final PaceExchange paces = new PaceExchange();
  private final Map<String, InetSocketAddress> relayAddresses = new HashMap<>();
  private final StalenessMonitor staleness;
  private final long startedAt = Clock.micros();
  private boolean draining;

  ControlPlane(EdgeSettings settings, long startedMillis, EventLoop loop, DataPlane dataPlane) {
    this.settings = settings;
    this.loop = loop;
    this.dataPlane = dataPlane;
    this.store = StoreClient.create(loop, settings.storeAddress());
    this.catalog = CatalogState.create(settings.instance());
    this.rollouts = new RolloutManager(store);
    this.staleness = new StalenessMonitor(dataPlane.metrics());
    this.directory =
        new PeerDirectory(
            settings.instance(),
            settings.zone(),
            settings.region(),
            startedMillis,
            new PeerListener());
    this.discovery = InstanceDiscovery.create(settings, loop, store, directory);
    this.operatorTopic = new OperatorTopic(new OperatorRecords());
    this.operatorRecords =
        follower(
            new StoreFollower.Topic(OPERATOR_TOPIC, OPERATOR_LONG_POLL_MILLIS, 0), operatorTopic);
    this.serverRecords =
        follower(
            new StoreFollower.Topic(SERVERS_TOPIC, 0, SERVERS_POLL_INTERVAL_MILLIS),
            new ServerRecords());
  }

  private StoreFollower follower(StoreFollower.Topic topic, StoreFollower.Listener listener) {
    ReaderElection election = ReaderElection.create(settings.instance(), UPDATE_FRESH_MICROS);
    return new StoreFollower(loop, store, topic, election, listener);
  }

  void start() {
    InetSocketAddress ownAddress = new InetSocketAddress(settings.host(), settings.firstPeerPort());
    directory.bind(loop, ownAddress);
    loop.execute(this::startOnLoop);
  }

  private void startOnLoop() {
    long now = Clock.micros();
    for (String seed : settings.seeds()) {
      if (!seed.equals(settings.host())) {
        directory.probe(new InetSocketAddress(seed, settings.firstPeerPort()), now);
      }
    }
    operatorRecords.start();
    serverRecords.start();
    discovery.start();
    sendDigests();
    loop.scheduleAtFixedRate(
        () -> EdgeLog.runLoggingFailures("control", this::runPeriodicTasks),
        PERIODIC_TASK_INTERVAL_MILLIS,
        PERIODIC_TASK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Applies the setting that may change at run time: the address of the store. */
  void setSettings(EdgeSettings changed) {
    store.setAddress(changed.storeAddress());
    EdgeLog.event("reloaded").addKeyValue("store", changed.storeAddress().toString()).log();
  }

  void announceDrain() {
    loop.execute(
        () -> {
          draining = true;
          sendDigest();
        });
  }

  /** Takes over a report of the data plane; called on its thread, and does not wake this one. */
  void onReport(TrafficReport newReport) {
    trafficReport = newReport;
  }

  /** Handles the operator's records: the configuration, roll-out orders and evacuations. */
  private final class OperatorRecords implements OperatorTopic.Receiver {
    private final TopicUpdates updates = new TopicUpdates(settings.instance(), OPERATOR_TOPIC);

    @Override
    public void onListed(List<StoreRecord> newest, LogPosition end) {
      rollouts.setEra(end.era());
      evacuations.onSnapshot(newest, source());
    }

    @Override
    public void apply(List<StoreRecord> records, boolean areNew) {
      // First, so that no request is sent by a configuration without the evacuations beside it.
      evacuations.onChanges(records, source()).ifPresent(ControlPlane.this::publishEvacuated);
      records.forEach(r -> StoreFollower.applyOrLog(r, record -> onOperatorRecord(record, areNew)));
      publishVersionRules();
    }

    @Override
    public void onStoreRestored() {
      discovery.onStoreRestored();
      dataPlane.metrics().count("store_restored");
    }

    @Override
    public void onConfirmed(TopicUpdate<StoreRecord> update) {
      sendUpdate(updates, update, Long.MIN_VALUE);
    }
  }

  private void sendUpdate(TopicUpdates updates, TopicUpdate<StoreRecord> update, long graceUntil) {
    long now = Clock.micros();
    directory.send(
        updates.messageAfterRead(update, graceUntil, directory.maxRelayBytes(now), now), now);
  }

  private String source() {
    return operatorRecords.status().lastSource();
  }

  private void onOperatorRecord(StoreRecord record, boolean isNew) {
    if (record.value().isEmpty()) {
      return;
    }
    byte[] value = record.value().get();
    if (record.key().equals(CatalogDecoder.CATALOG_KEY)) {
      catalog.take(value, record.position().toString(), source()).ifPresent(dataPlane::setCatalog);
    } else if (CatalogDecoder.isRollout(record.key())) {
      rollouts.onOrder(
          CatalogDecoder.decodeRollout(value, record.position()), isNew, Clock.micros());
    }
  }

  /** Handles the records of the backend servers. */
  private final class ServerRecords implements StoreFollower.Listener {
    private final TopicUpdates updates = new TopicUpdates(settings.instance(), SERVERS_TOPIC);

    @Override
    public void onSnapshot(List<StoreRecord> records, LogPosition end) {
      servers.onSnapshot(records, Clock.micros());
      publishServers();
    }

    @Override
    public void onEraReplaced(LogPosition position) {}

    @Override
    public List<StoreRecord> onRestored(List<StoreRecord> records, LogPosition end) {
      servers.onRestored(records, Clock.micros());
      publishServers();
      return List.of();
    }

    @Override
    public List<StoreRecord> onChanges(List<StoreRecord> records) {
      List<StoreRecord> changed = servers.onChanges(records, Clock.micros());
      publishServers();
      return changed;
    }

    @Override
    public void onRecovered(long outageMicros) {
      servers.onRecovered(outageMicros, Clock.micros());
    }

    @Override
    public void onConfirmed(TopicUpdate<StoreRecord> update) {
      sendUpdate(updates, update, servers.graceUntil());
    }
  }

  private void publishServers() {
    Optional<List<BackendServer>> change = servers.takeChange(Clock.micros());
    if (change.isPresent()) {
      rollouts.onServers(change.get());
      publishVersionRules();
      dataPlane.setServers(change.get());
    }
  }

  /** The version rules come first: else the share of a version without servers is rejected. */
  private void publishEvacuated(Set<String> failureDomains) {
    rollouts.setEvacuated(failureDomains);
    publishVersionRules();
    dataPlane.setEvacuated(failureDomains);
  }

  private void publishVersionRules() {
    Map<String, VersionRule> newRules = rollouts.rules(Clock.micros());
    if (!newRules.equals(versionRules)) {
      versionRules = newRules;
      dataPlane.setVersionRules(newRules);
      EdgeLog.event("version_rules").addKeyValue("rules", newRules).log();
    }
  }

  /** Handles digests and relayed records from peers. */
  private final class PeerListener implements PeerDirectory.Listener {
    @Override
    public void onDigest(EdgeDigest digest) {
      ControlPlane.this.onDigest(digest);
    }

    @Override
    public void onRelay(TopicRelay relay, InetSocketAddress sender) {
      long now = Clock.micros();
      relayAddresses.put(relay.getSender(), sender);
      if (relay.getTopic().equals(OPERATOR_TOPIC)) {
        TopicUpdates.deliverTo(relay, now, operatorRecords, until -> {});
      } else if (relay.getTopic().equals(SERVERS_TOPIC)) {
        TopicUpdates.deliverTo(relay, now, serverRecords, servers::extendGrace);
      }
    }

    @Override
    public void onCatalogOffer(CatalogOffer offer) {
      catalog.takeOffered(offer).ifPresent(dataPlane::setCatalog);
    }
  }

  private void sendDigests() {
    EdgeLog.runLoggingFailures("control", this::sendDigest);
    boolean many = directory.liveCount(Clock.micros()) > MANY_INSTANCES;
    long pause = many ? MANY_INSTANCES_DIGEST_INTERVAL_MILLIS : DIGEST_INTERVAL_MILLIS;
    loop.schedule(this::sendDigests, pause, TimeUnit.MILLISECONDS);
  }

  private void sendDigest() {
    long now = Clock.micros();
    LogPosition operatorPosition = operatorRecords.status().next();
    EdgeDigest.Builder digest =
        EdgeDigest.newBuilder()
            .setFrontAddress(
                settings.callerAddress().getHostString() + ":" + settings.callerAddress().getPort())
            .setZone(settings.zone())
            .setRegion(settings.region())
            .setReady(trafficReport.ready() && !draining)
            .setLeaving(draining)
            .setCatalogVersion(catalog.version())
            .setOperatorEra(operatorPosition.era())
            .setOperatorOffset(operatorPosition.offset())
            .setOperatorReaderAddress(operatorReaderAddress());
    BackendNewsCodec.addLoads(digest, trafficReport.loads());
    BackendNewsCodec.addLeaving(digest, trafficReport.leaving());
    ColdNewsCodec.addTo(digest, trafficReport.cold(), now);
    if (!trafficReport.crashEvidence().isEmpty()) {
      digest.setCrashEvidence(CrashEvidenceCodec.encode(trafficReport.crashEvidence(), now));
    }
    paces.addTo(digest, trafficReport.paces());
    rollouts.addTo(digest, now);
    directory.send(digest, now);
  }

  private String operatorReaderAddress() {
    String own = operatorRecords.isReader() ? InstanceDiscovery.peerAddress(settings) : "";
    return operatorRecords
        .reader()
        .map(relayAddresses::get)
        .map(a -> a.getHostString() + ":" + a.getPort())
        .orElse(own);
  }

  private void onDigest(EdgeDigest digest) {
    long now = Clock.micros();
    rollouts.onDigest(digest, now);
    staleness.onDigest(digest, catalog.version(), now);
    offerCatalog(digest, now);
    receivedLoads.put(digest.getInstance(), BackendNewsCodec.loads(digest));
    receivedLeaving.addAll(BackendNewsCodec.leaving(digest));
    ColdNewsCodec.decode(digest.getColdBackendsList(), now, receivedCold);
    paces.onDigest(digest);
    if (digest.hasCrashEvidence()) {
      dataPlane.mergeCrashEvidence(CrashEvidenceCodec.decode(digest.getCrashEvidence(), now));
    }
  }

  private void offerCatalog(EdgeDigest peer, long now) {
    catalog
        .offerFor(peer, operatorRecords.status().next(), () -> directory.live(now), now)
        .ifPresent(offer -> directory.send(offer, peer.getInstance()));
  }

  private void runPeriodicTasks() {
    long now = Clock.micros();
    rollouts.onEvidence(trafficReport.evidence());
    int live = directory.liveCount(now);
    List<String> regionPeers = directory.namesInRegion(now);
    operatorRecords.setLivePeers(regionPeers);
    serverRecords.setLivePeers(regionPeers);
    List<EdgeDigest> ready = directory.ready(now);
    Succession succession =
        Succession.of(
            settings.instance(), ready.stream().map(EdgeDigest::getInstance).toList(), startedAt);
    if (!draining) {
      rollouts.syncStatus(succession, now);
    }
    operatorTopic.applyDue();
    publishServers();
    publishVersionRules();
    boolean sendsTrials = !draining && succession.isFirst(now);
    dataPlane.onControlReport(
        new ControlReport(
            ready,
            1 + live,
            receivedLoads,
            receivedLeaving,
            receivedCold,
            paces.takeReceived(),
            sendsTrials,
            operatorRecords.status().confirmedAt()));
    receivedLoads.clear();
    receivedLeaving.clear();
    receivedCold.clear();
    staleness
        .takeCatchUpPosition(catalog.version(), now)
        .ifPresent(operatorRecords::requestCatchUp);
    staleness.check(catalog.version(), operatorRecords.status(), serverRecords.status(), live, now);
  }
}
