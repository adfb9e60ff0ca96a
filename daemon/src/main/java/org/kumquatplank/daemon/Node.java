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
import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.core.bills.BillWriter;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.claims.LogClaimStore;
import org.kumquatplank.core.claims.NonIdempotentCallExecutor;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.time.Sleeper;
import org.kumquatplank.http.HttpListener;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.ServerLimits;
import org.kumquatplank.link.PeerLinks;
import org.kumquatplank.link.SharedSecret;
import org.kumquatplank.platform.HttpEventLog;
import org.kumquatplank.platform.InstanceListClient;
import org.kumquatplank.platform.RatingClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One instance of the router: creates, connects, starts and stops its components. Thread-safe. */
final class Node implements AutoCloseable, Drain.Target {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final int TIMER_THREADS = 6;
  private static final Duration ROUTER_TICK_INTERVAL = Duration.ofMillis(20);
  private static final Duration STREAM_CHECK_INTERVAL = Duration.ofMillis(20);
  private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(250);
  private static final Duration INSTANCE_LIST_INTERVAL = Duration.ofMillis(500);
  private static final Duration ENGINE_LOAD_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DEMOTION_INTERVAL = Duration.ofSeconds(5);
  private static final Duration HOUSEKEEPING_INTERVAL = Duration.ofMillis(500);

  private final Settings settings;
  private final Clock clock = Clock.systemUTC();
  private final MicroClock microClock = MicroClock.system();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final ControlThread control = new ControlThread();
  private final MetricRegistry metrics = new MetricRegistry();
  private final PooledHttpClient backendClient = PooledHttpClient.create();
  private final PooledHttpClient platformClient = PooledHttpClient.create();
  private final Drain drain;
  private final Freshness freshness;
  private final ControlState state;
  private final ConfigFollower configFollower;
  private final MembershipUpdater membershipUpdater;
  private final PendingBills pending;
  private final BillTracker tracker;
  private final BillBackups billBackups;
  private final DemotionLog demotionLog;
  private final NonIdempotentCallExecutor nonIdempotentCalls;
  private final PeerLinks link;
  private final HttpListener callerListener;
  private final HttpListener adminListener;

  private Node(Settings settings, Runnable startDrain) {
    this.settings = settings;
    String self = settings.instance();
    SharedSecret secret = SharedSecret.of(settings.peerSecret());
    String platform = settings.platform().toString();
    EventLog log = HttpEventLog.create(platformClient, platform, clock);
    drain = new Drain(settings.addressLifetime(), settings.drainLimit());
    freshness = Freshness.create(System::nanoTime);
    state = new ControlState(self, settings.region(), freshness, microClock);
    configFollower = new ConfigFollower(log, control, state, freshness, System::nanoTime, self);
    membershipUpdater =
        new MembershipUpdater(
            InstanceListClient.create(platformClient, platform, clock),
            backendClient,
            control,
            state,
            settings,
            executor,
            drain::isDraining);
    pending = PendingBills.create();
    billBackups =
        new BillBackups(
            self, settings.failureDomain(), settings.region(), () -> state.snapshot().instances());
    tracker = BillTracker.create(self, billBackups, pending, billBackups::backupsFor, clock);
    LogClaimStore store =
        LogClaimStore.create(log, settings.claimPartitions(), executor, clock, Sleeper.system());
    RatingClient ratings = RatingClient.create(platformClient, platform);
    demotionLog = new DemotionLog(log, control, state);
    RatingCollector collector = createRatingCollector(ratings);
    PeerServer server = createPeerServer(store, collector);
    Settings.Endpoint peerListen = settings.peerListen();
    link = PeerLinks.open(self, secret, peerListen.host(), peerListen.port(), server);
    billBackups.setLink(link);
    collector.setLink(link);
    StreamMonitor monitor = new StreamMonitor(state, microClock);
    DispatchGate gate = new DispatchGate(state::snapshot, freshness);
    RouterFacade router = new RouterFacade(control, state, gate, monitor, microClock);
    RequestLog requestLog = new RequestLog(metrics);
    ServiceCallHandler serviceCalls = createServiceCallHandler(gate, requestLog);
    nonIdempotentCalls = createNonIdempotentCalls(store, serviceCalls);
    serviceCalls.setNonIdempotentCalls(nonIdempotentCalls);
    ChatDependencies dependencies =
        new ChatDependencies(router, backendClient, tracker, collector, ratings, requestLog);
    ChatService chat = new ChatService(dependencies, new SessionTokens(secret, clock), Node::newId);
    registerGauges();
    startBackgroundTasks(
        new Gossip(self, link, server, control, state, freshness, System::nanoTime, executor),
        monitor,
        log);
    callerListener = listen(settings.listen(), createCallerApi(gate, chat, serviceCalls));
    adminListener = listen(settings.adminListen(), createAdminApi(log, startDrain));
  }

  private PeerServer createPeerServer(LogClaimStore store, RatingCollector collector) {
    return new PeerServer(
        settings.instance(),
        control,
        state,
        freshness,
        store,
        pending,
        tracker,
        billBackups,
        collector,
        drain::isDraining);
  }

  private RatingCollector createRatingCollector(RatingClient ratings) {
    return new RatingCollector(
        ratings,
        control,
        state,
        executor,
        pair -> executor.execute(() -> demotionLog.record(pair)));
  }

  private ServiceCallHandler createServiceCallHandler(DispatchGate gate, RequestLog requestLog) {
    return new ServiceCallHandler(
        state::snapshot,
        gate,
        backendClient,
        new ServicePool(settings.region()),
        tracker,
        requestLog,
        Node::newId,
        microClock);
  }

  private NonIdempotentCallExecutor createNonIdempotentCalls(
      LogClaimStore store, ServiceCallHandler serviceCalls) {
    String self = settings.instance();
    ClaimRouter claims =
        new ClaimRouter(store, link, settings.claimPartitions(), self, this::activeInstanceIds);
    return NonIdempotentCallExecutor.create(
        claims,
        serviceCalls::dispatchNonIdempotent,
        this::isListedOrConnected,
        Node::newId,
        self,
        clock,
        Sleeper.system());
  }

  private CallerApi createCallerApi(
      DispatchGate gate, ChatService chat, ServiceCallHandler serviceCalls) {
    return new CallerApi(
        state::snapshot,
        gate,
        chat,
        serviceCalls,
        drain,
        settings.instance(),
        settings.addressLifetime());
  }

  private AdminApi createAdminApi(EventLog log, Runnable startDrain) {
    String self = settings.instance();
    return new AdminApi(
        settings.adminToken(),
        self,
        control,
        state,
        freshness,
        new ConfigPublisher(log, control, state, self),
        log,
        metrics,
        drain,
        startDrain);
  }

  /**
   * Creates and starts an instance.
   *
   * @param startDrain starts the graceful shutdown of the process
   */
  static Node start(Settings settings, Runnable startDrain) {
    Node node = new Node(settings, startDrain);
    LOG.atInfo()
        .addKeyValue("event", "started")
        .addKeyValue("instance", settings.instance())
        .addKeyValue("listen", settings.listen())
        .log("instance {} listening on {}", settings.instance(), settings.listen());
    return node;
  }

  private static HttpListener listen(
      Settings.Endpoint endpoint, org.kumquatplank.http.Handler handler) {
    return HttpListener.open(endpoint.host(), endpoint.port(), ServerLimits.defaults(), handler);
  }

  private static String newId() {
    return UUID.randomUUID().toString();
  }

  private List<String> activeInstanceIds() {
    return state.snapshot().instances().entries().stream()
        .filter(e -> !e.leaving())
        .map(ListedInstance::id)
        .toList();
  }

  private boolean isListedOrConnected(String instance) {
    return state.snapshot().instances().find(instance).isPresent()
        || link.connectedPeers().contains(instance);
  }

  private void startBackgroundTasks(Gossip gossip, StreamMonitor monitor, EventLog log) {
    executor.execute(configFollower);
    control.scheduleWithFixedDelay(ROUTER_TICK_INTERVAL, () -> state.tick(microClock.micros()));
    control.scheduleWithFixedDelay(STREAM_CHECK_INTERVAL, monitor::checkStreams);
    scheduleWithFixedDelay(INSTANCE_LIST_INTERVAL, membershipUpdater::refresh);
    scheduleWithFixedDelay(ENGINE_LOAD_INTERVAL, membershipUpdater::pollEngineLoads);
    scheduleWithFixedDelay(GOSSIP_INTERVAL, gossip::exchangeDigests);
    scheduleWithFixedDelay(HOUSEKEEPING_INTERVAL, this::runHousekeeping);
    scheduleWithFixedDelay(DEMOTION_INTERVAL, demotionLog::applyNew);
    BillWriter billWriter =
        BillWriter.create(
            log, pending, () -> activeInstanceIds().size(), billBackups::notifyWritten, clock);
    executor.execute(() -> writeBills(billWriter));
  }

  private void scheduleWithFixedDelay(Duration delay, Runnable task) {
    timers.scheduleWithFixedDelay(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            LOG.error("periodic task failed", e);
          }
        },
        0,
        delay.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /**
   * Retries pending settlements of claims, settles open bills of lost instances, and reclaims bills
   * that no backup instance has written.
   */
  private void runHousekeeping() {
    nonIdempotentCalls.retrySettlements();
    pending.settleLost(billBackups.listedOrRecent());
    tracker.reclaimOverdue(billBackups.listedOrRecent());
  }

  private static void writeBills(BillWriter billWriter) {
    while (!Thread.currentThread().isInterrupted()) {
      Instant next = billWriter.writeOnce();
      long millis = Math.max(1, Duration.between(Instant.now(), next).toMillis());
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void registerGauges() {
    registerGauge("config_version", () -> state.snapshot().configuration().version());
    registerGauge("fresh", () -> freshness.isFresh() ? 1 : 0);
    registerGauge("bills_unwritten", pending::backlog);
    registerGauge("bills_held", tracker::heldCount);
    registerGauge("peers_connected", () -> link.connectedPeers().size());
  }

  private void registerGauge(String name, Gauge<Number> gauge) {
    metrics.register(name, gauge);
  }

  /** Drains and closes this instance; returns whether everything finished in time. */
  boolean drainAndClose() {
    boolean allFinished = drain.run(this);
    close();
    return allFinished;
  }

  @Override
  public void announceLeaving() {
    callerListener.disableKeepAlive();
    membershipUpdater.announce();
  }

  @Override
  public void stopAccepting() {
    callerListener.stopAccepting();
  }

  @Override
  public int inFlight() {
    return callerListener.activeRequests();
  }

  @Override
  public int handOver() {
    return nonIdempotentCalls.retrySettlements() + pending.backlog() + tracker.heldCount();
  }

  @Override
  public void close() {
    callerListener.close();
    adminListener.close();
    timers.shutdownNow();
    configFollower.stop();
    link.close();
    control.close();
    executor.shutdownNow();
  }
}
