package org.kumquatplank.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.core.bills.BillWriter;
import org.kumquatplank.core.claims.LogClaimStore;
import org.kumquatplank.core.claims.NonIdempotentCallExecutor;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.time.Sleeper;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.HttpListener;
import org.kumquatplank.http.ServerLimits;
import org.kumquatplank.link.LinkSecret;
import org.kumquatplank.link.PeerLink;
import org.kumquatplank.platform.PlatformDirectory;
import org.kumquatplank.platform.PlatformLog;
import org.kumquatplank.platform.PlatformRatings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One instance with all its parts. Thread-safe. */
final class Node implements AutoCloseable, Drain.Parts {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final int TIMER_THREADS = 6;
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration STREAM_CHECK = Duration.ofMillis(20);
  private static final Duration GOSSIP = Duration.ofMillis(250);
  private static final Duration LIST_POLL = Duration.ofMillis(500);
  private static final Duration LOAD_POLL = Duration.ofSeconds(2);
  private static final Duration DEMOTION_POLL = Duration.ofSeconds(5);
  private static final Duration HOUSEKEEPING = Duration.ofMillis(500);

  private final Settings settings;
  private final Clock clock = Clock.systemUTC();
  private final MicroClock microClock = MicroClock.system();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final Control control = new Control();
  private final MetricRegistry metrics = new MetricRegistry();
  private final PooledHttpClient engineCaller = PooledHttpClient.create();
  private final PooledHttpClient platformCaller = PooledHttpClient.create();
  private final Drain drain;
  private final Freshness freshness;
  private final ControlState state;
  private final ConfigFollower follower;
  private final Directory directory;
  private final PendingBills pending;
  private final BillTracker tracker;
  private final Billing billing;
  private final DemotionLog demotions;
  private final NonIdempotentCallExecutor onceOnly;
  private final PeerLink link;
  private final HttpListener callers;
  private final HttpListener operators;

  private Node(Settings settings, Runnable startDrain) {
    this.settings = settings;
    String self = settings.instance();
    LinkSecret secret = LinkSecret.of(settings.peerSecret());
    String platform = settings.platform().toString();
    EventLog log = PlatformLog.create(platformCaller, platform, clock);
    drain = new Drain(settings.addressLifetime(), settings.drainLimit());
    freshness = Freshness.create(System::nanoTime);
    state = new ControlState(self, settings.region(), freshness, microClock);
    follower = new ConfigFollower(log, control, state, freshness, System::nanoTime, self);
    directory =
        new Directory(
            PlatformDirectory.create(platformCaller, platform, clock),
            engineCaller,
            control,
            state,
            settings,
            executor,
            drain::isDraining);
    pending = PendingBills.create();
    billing =
        new Billing(
            self, settings.failureDomain(), settings.region(), () -> state.snapshot().instances());
    tracker = BillTracker.create(self, billing, pending, billing::keepersFor, clock);
    LogClaimStore store =
        LogClaimStore.create(log, settings.claimPartitions(), executor, clock, Sleeper.system());
    PlatformRatings ratings = PlatformRatings.create(platformCaller, platform);
    demotions = new DemotionLog(log, control, state);
    Evidence evidence = evidence(ratings);
    PeerServer server =
        new PeerServer(
            self, control, state, freshness, store, pending, tracker, evidence, drain::isDraining);
    Settings.Endpoint peerListen = settings.peerListen();
    link = PeerLink.open(self, secret, peerListen.host(), peerListen.port(), server);
    billing.setLink(link);
    evidence.setLink(link);
    StreamMonitor monitor = new StreamMonitor(state, microClock);
    DispatchGate gate = new DispatchGate(state::snapshot, freshness);
    Serving serving = new Serving(control, state, gate, monitor, microClock);
    RequestLog requestLog = new RequestLog(metrics);
    ServiceCalls services = serviceCalls(gate, requestLog);
    onceOnly = onceOnlyCalls(store, services);
    services.setOnceOnly(onceOnly);
    ChatParts parts = new ChatParts(serving, engineCaller, tracker, evidence, ratings, requestLog);
    ChatService chat = new ChatService(parts, new SessionTokens(secret, clock), Node::newId);
    registerGauges();
    startTasks(
        new Gossip(self, link, server, control, state, freshness, System::nanoTime, executor),
        monitor,
        log);
    callers =
        listen(
            settings.listen(),
            new CallerApi(state::snapshot, chat, services, drain, self, settings.addressLifetime()));
    operators = listen(settings.adminListen(), adminApi(log, startDrain));
  }

  private Evidence evidence(PlatformRatings ratings) {
    return new Evidence(
        ratings, control, state, executor, pair -> executor.execute(() -> demotions.record(pair)));
  }

  private ServiceCalls serviceCalls(DispatchGate gate, RequestLog requestLog) {
    return new ServiceCalls(
        state::snapshot,
        gate,
        engineCaller,
        new ServicePool(settings.region()),
        tracker,
        requestLog,
        Node::newId,
        microClock);
  }

  private NonIdempotentCallExecutor onceOnlyCalls(LogClaimStore store, ServiceCalls services) {
    String self = settings.instance();
    ClaimRouter claims =
        new ClaimRouter(store, link, settings.claimPartitions(), self, this::liveEntries);
    return NonIdempotentCallExecutor.create(
        claims, services::dispatchOnce, this::isListed, Node::newId, self, clock, Sleeper.system());
  }

  private AdminApi adminApi(EventLog log, Runnable startDrain) {
    String self = settings.instance();
    return new AdminApi(
        settings.adminToken(),
        self,
        control,
        state,
        freshness,
        new Publisher(log, control, state, self),
        log,
        metrics,
        drain,
        startDrain);
  }

  /**
   * Starts an instance.
   *
   * @param startDrain begins the graceful shutdown of the process
   */
  static Node start(Settings settings, Runnable startDrain) {
    Node node = new Node(settings, startDrain);
    LOG.atInfo()
        .addKeyValue("event", "started")
        .addKeyValue("instance", settings.instance())
        .addKeyValue("listen", settings.listen())
        .log("instance {} serves at {}", settings.instance(), settings.listen());
    return node;
  }

  private static HttpListener listen(
      Settings.Endpoint endpoint, org.kumquatplank.http.Handler handler) {
    return HttpListener.open(endpoint.host(), endpoint.port(), ServerLimits.defaults(), handler);
  }

  private static String newId() {
    return UUID.randomUUID().toString();
  }

  private List<String> liveEntries() {
    return state.snapshot().instances().entries().stream()
        .filter(e -> !e.leaving())
        .map(ListedInstance::id)
        .toList();
  }

  private boolean isListed(String instance) {
    return state.snapshot().instances().find(instance).isPresent()
        || link.connected().contains(instance);
  }

  private void startTasks(Gossip gossip, StreamMonitor monitor, EventLog log) {
    executor.execute(follower);
    control.every(TICK, () -> state.tick(microClock.micros()));
    control.every(STREAM_CHECK, monitor::check);
    every(LIST_POLL, directory::refresh);
    every(LOAD_POLL, directory::askEngines);
    every(GOSSIP, gossip::exchange);
    every(HOUSEKEEPING, this::keepHouse);
    every(DEMOTION_POLL, demotions::follow);
    BillWriter writer =
        BillWriter.create(log, pending, () -> liveEntries().size(), billing::tellWritten, clock);
    executor.execute(() -> writeBills(writer));
  }

  private void every(Duration period, Runnable task) {
    timers.scheduleWithFixedDelay(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            LOG.error("a periodic task failed", e);
          }
        },
        0,
        period.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void keepHouse() {
    onceOnly.settleOpen();
    pending.settleLost(billing.liveOrRecent());
    tracker.reclaimOverdue(billing.liveOrRecent());
  }

  private static void writeBills(BillWriter writer) {
    while (!Thread.currentThread().isInterrupted()) {
      Instant next = writer.writeOnce();
      long millis = Math.max(1, Duration.between(Instant.now(), next).toMillis());
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void registerGauges() {
    gauge("config_version", () -> state.snapshot().configuration().version());
    gauge("fresh", () -> freshness.isFresh() ? 1 : 0);
    gauge("bills_unwritten", pending::backlog);
    gauge("bills_held", tracker::held);
    gauge("peers_connected", () -> link.connected().size());
  }

  private void gauge(String name, Gauge<Number> gauge) {
    metrics.register(name, gauge);
  }

  /** Drains, then returns whether everything finished in time. */
  boolean drainAndClose() {
    boolean clean = drain.run(this);
    close();
    return clean;
  }

  @Override
  public void announce() {
    callers.beginClosing();
    directory.announce();
  }

  @Override
  public void stopAccepting() {
    callers.stopAccepting();
  }

  @Override
  public int active() {
    return callers.active();
  }

  @Override
  public int handOver() {
    return onceOnly.settleOpen() + pending.backlog() + tracker.held();
  }

  @Override
  public void close() {
    callers.close();
    operators.close();
    timers.shutdownNow();
    follower.stop();
    link.close();
    control.close();
    executor.shutdownNow();
  }
}
