package org.kumquatplank.edge;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.dispatch.CrashEvidence;
import org.kumquatplank.core.dispatch.DrainSchedule;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.memory.ConnectionLimit;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.platform.wire.DiscoveryProtocol;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * The data plane: the servers for callers, directory, readiness and metrics, and the periodic tasks
 * of the in-flight requests.
 *
 * <p>Thread-safe: updates from the control thread are handed over to the traffic thread.
 */
final class DataPlane {
  private static final int BACKLOG = 1_024;
  private static final long TICK_MILLIS = 50;
  private static final long REPORT_MILLIS = 250;
  private static final long SWEEP_MILLIS = 400;
  private static final long DRAIN_CHECK_MILLIS = 50;
  private static final double ADDRESS_TTL_SECONDS = 2;
  private static final String JSON = "application/json";

  private final EdgeSettings settings;
  private final EventLoop loop;
  private final EdgeMetrics metrics = new EdgeMetrics();
  private final SendGate gate;
  private final BackendPool pool;
  private final Dispatcher dispatcher;
  private final AdmissionController admission;
  private final Set<Channel> auxiliaryConnections = new LinkedHashSet<>();
  private final EntryAddresses addresses = new EntryAddresses();
  private final CountDownLatch drained = new CountDownLatch(1);
  private Consumer<TrafficReport> reportListener = report -> {};
  private Optional<DrainSchedule> drain = Optional.empty();
  private boolean requestsEnded;

  DataPlane(EdgeSettings settings, EdgeOptions options, EventLoop loop) {
    this.settings = settings;
    this.loop = loop;
    this.gate = new SendGate(loop);
    this.pool = new BackendPool(loop, gate);
    this.dispatcher = new Dispatcher(settings, options, pool, gate, metrics);
    this.admission = new AdmissionController(dispatcher, metrics, settings.resources());
  }

  EdgeMetrics metrics() {
    return metrics;
  }

  /** Returns the number of requests that are open; call it on the traffic thread. */
  int openExchanges() {
    return dispatcher.openExchanges();
  }

  void start(Consumer<TrafficReport> listener) {
    reportListener = listener;
    listen(
        settings.callerAddress(),
        new ChannelInitializer<SocketChannel>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            admission.open(channel.pipeline());
          }
        });
    listen(settings.readinessAddress(), auxiliary(this::readiness));
    listen(settings.directoryAddress(), auxiliary(this::resolve));
    listen(settings.metricsAddress(), auxiliary(uri -> metricsPage()));
    dispatcher.onFirstExchange(this::tickWhileOpen);
    scheduleEvery(SWEEP_MILLIS, this::sweep);
    scheduleEvery(REPORT_MILLIS, () -> reportListener.accept(report()));
  }

  /** Runs periodic checks while exchanges are open, so that an idle instance does not wake up. */
  private void tickWhileOpen() {
    loop.schedule(
        () -> {
          EdgeLog.runLoggingFailures("traffic", () -> dispatcher.tick(Clock.micros()));
          if (dispatcher.openExchanges() > 0) {
            tickWhileOpen();
          } else {
            dispatcher.onIdle();
          }
        },
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void scheduleEvery(long millis, Runnable work) {
    Runnable task = () -> EdgeLog.runLoggingFailures("traffic", work);
    loop.scheduleWithFixedDelay(task, millis, millis, TimeUnit.MILLISECONDS);
  }

  private AuxiliaryServer auxiliary(Function<String, AuxiliaryServer.Response> handler) {
    int max = ConnectionLimit.ofAuxiliary(settings.resources().fileDescriptors());
    return new AuxiliaryServer(auxiliaryConnections, max, handler);
  }

  private void listen(InetSocketAddress address, ChannelHandler handler) {
    Channel channel =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(handler)
            .bind(address)
            .syncUninterruptibly()
            .channel();
    EdgeLog.event("listening").addKeyValue("address", channel.localAddress().toString()).log();
  }

  private AuxiliaryServer.Response readiness(String uri) {
    boolean ready = DiscoveryProtocol.isReadiness(uri) && dispatcher.isReady() && drain.isEmpty();
    return AuxiliaryServer.Response.status(ready ? 200 : 503);
  }

  private AuxiliaryServer.Response resolve(String uri) {
    Optional<DiscoveryProtocol.ResolveRequest> query = DiscoveryProtocol.parseResolve(uri);
    if (query.isEmpty()) {
      return AuxiliaryServer.Response.status(404);
    }
    List<String> list = addresses.addressesFor(query.get().zone(), query.get().region());
    if (list.isEmpty()) {
      return AuxiliaryServer.Response.status(503);
    }
    double seconds = Math.min(ADDRESS_TTL_SECONDS, settings.limits().maxDiscoveryTtlSeconds());
    return AuxiliaryServer.Response.of(200, JSON, DiscoveryProtocol.resolveResponse(list, seconds));
  }

  private AuxiliaryServer.Response metricsPage() {
    return AuxiliaryServer.Response.of(200, "text/plain", metrics.text());
  }

  void setCatalog(Catalog catalog) {
    loop.execute(
        () -> {
          dispatcher.setCatalog(catalog);
          admission.onCatalog(catalog);
        });
  }

  void setServers(List<BackendServer> servers) {
    loop.execute(() -> dispatcher.setServers(servers));
  }

  void setEvacuated(Set<String> failureDomains) {
    loop.execute(() -> dispatcher.setEvacuated(failureDomains));
  }

  /** Merges what a peer knows of crashes of backend servers. */
  void mergeCrashEvidence(CrashEvidence evidence) {
    loop.execute(() -> dispatcher.crashDetector().merge(evidence));
  }

  void setVersionRules(Map<String, VersionRule> rules) {
    loop.execute(() -> dispatcher.setVersionRules(rules));
  }

  /** Takes over what the control plane knows, in one task so that this thread wakes up once. */
  void onControlReport(ControlReport report) {
    loop.execute(
        () -> {
          addresses.set(readyInstances(report.readyPeers()));
          dispatcher.choice().setLiveInstances(report.liveInstances());
          long now = Clock.micros();
          report.loads().forEach((p, loads) -> dispatcher.registry().setPeerLoads(p, loads, now));
          dispatcher.registry().addLeaving(report.leaving());
          dispatcher.choice().coldStarts().onControlReport(report.readyPeers(), report.cold());
          report.paces().forEach(dispatcher.paces()::add);
          dispatcher.crashDetector().setSendsTrials(report.sendsTrials());
          dispatcher.catalog().setConfirmedAt(report.catalogConfirmedAt());
        });
  }

  private List<EntryAddresses.Instance> readyInstances(List<EdgeDigest> readyPeers) {
    List<EntryAddresses.Instance> list = new ArrayList<>();
    for (EdgeDigest peer : readyPeers) {
      list.add(
          new EntryAddresses.Instance(peer.getFrontAddress(), peer.getZone(), peer.getRegion()));
    }
    if (dispatcher.isReady() && drain.isEmpty()) {
      InetSocketAddress own = settings.callerAddress();
      list.add(
          new EntryAddresses.Instance(
              own.getHostString() + ":" + own.getPort(), settings.zone(), settings.region()));
    }
    return list;
  }

  private TrafficReport report() {
    gate.recordTick(Clock.micros());
    return new TrafficReport(
        dispatcher.registry().ownLoads(Clock.micros()),
        dispatcher.registry().leaving(),
        dispatcher.choice().coldStarts().cold(),
        dispatcher.paces().update(Clock.micros()),
        dispatcher.versionStats(),
        dispatcher.crashDetector().evidence(),
        dispatcher.isReady());
  }

  private void sweep() {
    long now = Clock.micros();
    pool.sweep(now);
    dispatcher.crashDetector().sweep();
    admission.sweep(now);
  }

  /** Drains: rejects new requests after a while, and returns when all responses are written. */
  void drain() {
    loop.execute(this::startDrain);
    try {
      if (!drained.await(settings.limits().shutdownGraceMillis(), TimeUnit.MILLISECONDS)) {
        EdgeLog.event("left_late").log();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startDrain() {
    DrainSchedule schedule =
        DrainSchedule.of(Clock.micros(), settings.limits().shutdownGraceMillis());
    drain = Optional.of(schedule);
    admission.drain(schedule.acceptUntil());
    dispatcher.drain(schedule);
    EdgeLog.event("leaving").addKeyValue("open", dispatcher.openExchanges()).log();
    scheduleEvery(DRAIN_CHECK_MILLIS, () -> checkDrain(schedule, Clock.micros()));
  }

  private void checkDrain(DrainSchedule schedule, long now) {
    if (now >= schedule.closeIdleAt()) {
      admission.closeIdle();
    }
    if (now >= schedule.endRequestsAt() && !requestsEnded) {
      requestsEnded = true;
      EdgeLog.event("grace_over").addKeyValue("open", dispatcher.openExchanges()).log();
      dispatcher.endAll();
    }
    boolean written = dispatcher.openExchanges() == 0 && !admission.hasUnwrittenResponses();
    if ((now >= schedule.closeIdleAt() && written) || now >= schedule.exitAt()) {
      EdgeLog.event("left").addKeyValue("open", dispatcher.openExchanges()).log();
      drained.countDown();
    }
  }
}
