package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.relay.ReaderElection;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.EdgeLoad;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.CatalogDecoder;
import org.kumquatplank.platform.wire.EdgeSettings;
import org.kumquatplank.platform.wire.SettingsDecoder;

/**
 * The control state: configuration, backend servers, other instances and roll-outs.
 *
 * <p>Confined to the control thread; tells the traffic thread what is in force.
 */
final class ControlPlane {
  private static final String OPERATOR_TOPIC = "op";
  private static final String SERVERS_TOPIC = "servers";

  /** Instances leave their addresses here, so that others find them. */
  private static final String INSTANCES_TOPIC = "instances";

  /** A change is told by the store at once; a silent connection is noticed after this. */
  private static final long OPERATOR_WAIT_MILLIS = 1_000;

  /** The list changes all the time and is read at intervals well under the time to drain. */
  private static final long SERVERS_PAUSE_MILLIS = 800;

  private static final long DIGEST_MILLIS = 250;

  /** With many instances each puts little on a backend server, and datagrams would add up. */
  private static final int MANY_INSTANCES = 12;

  private static final long MANY_DIGEST_MILLIS = 500;
  private static final long STEP_MILLIS = 300;

  /** News of another instance count as long: two lost datagrams, and well under a bound of 3 s. */
  private static final long NEWS_FRESH_MICROS = 2_200_000;

  private static final long INSTANCES_MILLIS = 15_000;

  /** Instances that know others hear of new ones from them. */
  private static final long INSTANCES_KNOWN_MILLIS = 60_000;

  private static final long INSTANCES_RETRY_MILLIS = 500;

  private final EdgeSettings settings;
  private final EventLoop loop;
  private final Traffic traffic;
  private final StoreClient store;
  private final ServerList servers = ServerList.create();
  private final RolloutManager rollouts;
  private final PeerDirectory directory;
  private final StoreFollower operatorRecords;
  private final StoreFollower serverRecords;
  private Optional<Catalog> catalog = Optional.empty();
  private Map<String, VersionRule> rules = Map.of();
  private TrafficReport report = TrafficReport.NOTHING;
  private final Map<String, List<PeerLoad>> newLoads = new HashMap<>();
  private boolean leaving;

  ControlPlane(EdgeSettings settings, long startedMillis, EventLoop loop, Traffic traffic) {
    this.settings = settings;
    this.loop = loop;
    this.traffic = traffic;
    this.store = StoreClient.create(loop, settings.store());
    this.rollouts = new RolloutManager(store);
    this.directory =
        new PeerDirectory(
            settings.instance(), settings.zone(), settings.region(), startedMillis, new News());
    this.operatorRecords =
        follower(
            new StoreFollower.Topic(OPERATOR_TOPIC, OPERATOR_WAIT_MILLIS, 0),
            new OperatorRecords());
    this.serverRecords =
        follower(
            new StoreFollower.Topic(SERVERS_TOPIC, 0, SERVERS_PAUSE_MILLIS), new ServerRecords());
  }

  private StoreFollower follower(StoreFollower.Topic topic, StoreFollower.Listener listener) {
    ReaderElection election = ReaderElection.create(settings.instance(), NEWS_FRESH_MICROS);
    return new StoreFollower(loop, store, topic, election, listener);
  }

  void start() {
    InetSocketAddress own = new InetSocketAddress(settings.host(), settings.firstPeerPort());
    directory.bind(loop, own);
    loop.execute(this::startOnLoop);
  }

  private void startOnLoop() {
    long now = Clock.micros();
    for (String seed : settings.seeds()) {
      if (!seed.equals(settings.host())) {
        directory.contact(new InetSocketAddress(seed, settings.firstPeerPort()), now);
      }
    }
    operatorRecords.start();
    serverRecords.start();
    announce();
    sendDigests();
    loop.scheduleAtFixedRate(this::step, STEP_MILLIS, STEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Takes over what may change while the process runs: the address of the store. */
  void setSettings(EdgeSettings changed) {
    store.setAddress(changed.store());
    EdgeLog.event("reloaded").addKeyValue("store", changed.store().toString()).log();
  }

  void leave() {
    loop.execute(
        () -> {
          leaving = true;
          sendDigest();
        });
  }

  void onReport(TrafficReport newReport) {
    loop.execute(() -> report = newReport);
  }

  // ---- the operator and the backend servers

  /** Takes the operator's records. */
  private final class OperatorRecords implements StoreFollower.Listener {
    private final TopicUpdates updates = new TopicUpdates(settings.instance(), OPERATOR_TOPIC);

    @Override
    public void onListing(List<StoreRecord> records) {
      onChanges(records);
    }

    @Override
    public List<StoreRecord> onChanges(List<StoreRecord> records) {
      records.forEach(r -> StoreFollower.each(r, ControlPlane.this::onOperatorRecord));
      publishRules();
      return records;
    }

    @Override
    public void onRegained(long outageMicros) {}

    @Override
    public void onConfirmed(StoreFollower.Told told) {
      tell(updates, told, Long.MIN_VALUE);
    }
  }

  private void tell(TopicUpdates updates, StoreFollower.Told told, long graceUntil) {
    long now = Clock.micros();
    directory.send(updates.after(told, graceUntil, directory.mostRelayBytes(now), now), now);
  }

  private void onOperatorRecord(StoreRecord record) {
    if (record.value().isEmpty()) {
      return;
    }
    byte[] value = record.value().get();
    if (record.key().equals(CatalogDecoder.CATALOG_KEY)) {
      Catalog read = CatalogDecoder.decode(value);
      if (catalog.isEmpty() || read.version() > catalog.get().version()) {
        catalog = Optional.of(read);
        traffic.setCatalog(read);
        EdgeLog.event("catalog")
            .addKeyValue("version", read.version())
            .addKeyValue("offset", record.offset())
            .log();
      }
    } else if (CatalogDecoder.isRollout(record.key())) {
      rollouts.onOrder(CatalogDecoder.decodeRollout(value, record.offset()), Clock.micros());
    }
  }

  /** Takes the backend servers' records. */
  private final class ServerRecords implements StoreFollower.Listener {
    private final TopicUpdates updates = new TopicUpdates(settings.instance(), SERVERS_TOPIC);

    @Override
    public void onListing(List<StoreRecord> records) {
      servers.onListing(records, Clock.micros());
      publishServers();
    }

    @Override
    public List<StoreRecord> onChanges(List<StoreRecord> records) {
      List<StoreRecord> changed = servers.onChanges(records, Clock.micros());
      publishServers();
      return changed;
    }

    @Override
    public void onRegained(long outageMicros) {
      servers.onRegained(outageMicros, Clock.micros());
    }

    @Override
    public void onConfirmed(StoreFollower.Told told) {
      tell(updates, told, servers.graceUntil());
    }
  }

  private void publishServers() {
    Optional<List<BackendServer>> change = servers.takeChange(Clock.micros());
    if (change.isPresent()) {
      rollouts.onServers(change.get());
      publishRules();
      traffic.setServers(change.get());
    }
  }

  private void publishRules() {
    Map<String, VersionRule> newRules = rollouts.rules(Clock.micros());
    if (!newRules.equals(rules)) {
      rules = newRules;
      traffic.setRules(newRules);
      EdgeLog.event("version_rules").addKeyValue("rules", newRules).log();
    }
  }

  // ---- other instances

  private void announce() {
    String address = settings.host() + ":" + settings.firstPeerPort();
    byte[] value = address.getBytes(StandardCharsets.UTF_8);
    store
        .put(INSTANCES_TOPIC, settings.instance(), value, OptionalLong.empty())
        .whenComplete(
            (offset, failure) -> {
              if (failure != null) {
                loop.schedule(this::announce, INSTANCES_RETRY_MILLIS, TimeUnit.MILLISECONDS);
              } else {
                findInstances();
              }
            });
  }

  private void findInstances() {
    store
        .newest(INSTANCES_TOPIC)
        .whenComplete(
            (page, failure) -> {
              if (failure == null) {
                page.records().forEach(r -> StoreFollower.each(r, this::onInstance));
              }
              boolean alone = directory.live(Clock.micros()).isEmpty();
              long good = alone ? INSTANCES_MILLIS : INSTANCES_KNOWN_MILLIS;
              long pause = failure == null ? good : INSTANCES_RETRY_MILLIS;
              loop.schedule(this::findInstances, pause, TimeUnit.MILLISECONDS);
            });
  }

  /** Takes what other instances tell. */
  private final class News implements PeerDirectory.Listener {
    @Override
    public void onDigest(EdgeDigest digest) {
      ControlPlane.this.onDigest(digest);
    }

    @Override
    public void onRelay(TopicRelay relay) {
      long now = Clock.micros();
      if (relay.getTopic().equals(OPERATOR_TOPIC)) {
        TopicUpdates.deliver(relay, now, operatorRecords, until -> {});
      } else if (relay.getTopic().equals(SERVERS_TOPIC)) {
        TopicUpdates.deliver(relay, now, serverRecords, servers::extendGrace);
      }
    }
  }

  private void onInstance(StoreRecord record) {
    if (record.key().equals(settings.instance()) || record.value().isEmpty()) {
      return;
    }
    String address = new String(record.value().get(), StandardCharsets.UTF_8);
    long now = Clock.micros();
    boolean heard =
        directory.live(now).stream().anyMatch(p -> p.digest().getInstance().equals(record.key()));
    if (!heard) {
      directory.contact(SettingsDecoder.address(address), now);
    }
  }

  private void sendDigests() {
    sendDigest();
    boolean many = directory.live(Clock.micros()).size() > MANY_INSTANCES;
    long pause = many ? MANY_DIGEST_MILLIS : DIGEST_MILLIS;
    loop.schedule(this::sendDigests, pause, TimeUnit.MILLISECONDS);
  }

  private void sendDigest() {
    long now = Clock.micros();
    EdgeDigest.Builder digest =
        EdgeDigest.newBuilder()
            .setFrontAddress(
                settings.callers().getHostString() + ":" + settings.callers().getPort())
            .setZone(settings.zone())
            .setRegion(settings.region())
            .setReady(report.ready() && !leaving)
            .setLeaving(leaving)
            .setCatalogVersion(catalog.map(Catalog::version).orElse(-1L));
    for (PeerLoad load : report.loads()) {
      digest.addLoads(
          EdgeLoad.newBuilder()
              .setBackend(load.backend())
              .setRequests(load.requests())
              .setUnreadTokens(load.unreadTokens())
              .setSuspect(load.suspect()));
    }
    rollouts.addTo(digest, now);
    directory.send(digest, now);
  }

  private void onDigest(EdgeDigest digest) {
    rollouts.onDigest(digest, Clock.micros());
    List<PeerLoad> loads = new ArrayList<>();
    for (EdgeLoad load : digest.getLoadsList()) {
      loads.add(
          new PeerLoad(
              load.getBackend(), load.getRequests(), load.getUnreadTokens(), load.getSuspect()));
    }
    newLoads.put(digest.getInstance(), loads);
  }

  private void step() {
    long now = Clock.micros();
    rollouts.onAnswers(report.answers());
    List<PeerDirectory.Peer> live = directory.live(now);
    boolean leader =
        !leaving
            && live.stream()
                .filter(p -> p.digest().getReady())
                .allMatch(p -> settings.instance().compareTo(p.digest().getInstance()) < 0);
    rollouts.step(leader, now);
    publishServers();
    publishRules();
    List<EdgeDigest> ready =
        live.stream().map(PeerDirectory.Peer::digest).filter(EdgeDigest::getReady).toList();
    traffic.setPeers(ready, 1 + live.size(), Map.copyOf(newLoads));
    newLoads.clear();
  }
}
