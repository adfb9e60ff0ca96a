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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.rollout.Evidence;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.platform.wire.Directory;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * The traffic thread: callers' connections, the directory and the clock that moves requests on.
 *
 * <p>Thread-safe: what the control thread tells is handed over to the traffic thread.
 */
final class Traffic {
  private static final int BACKLOG = 1_024;
  private static final long TICK_MILLIS = 50;
  private static final long REPORT_MILLIS = 250;
  private static final long SWEEP_MILLIS = 400;
  private static final double RESOLVE_SECONDS = 2;
  private static final String JSON = "application/json";

  /** While leaving, requests of callers that have not heard of it yet are still taken. */
  private static final long TAKE_WORK_MICROS = 3_000_000;

  /** Callers have asked for addresses anew by then, and connections without requests close. */
  private static final long CLOSE_IDLE_MICROS = 3_500_000;

  /** Time before the process is killed at which it ends by itself. */
  private static final long END_MARGIN_MICROS = 500_000;

  private final EdgeSettings settings;
  private final EventLoop loop;
  private final EdgeMetrics metrics = new EdgeMetrics();
  private final BackendPool pool;
  private final Dispatcher dispatcher;
  private final Entry entry;
  private final EntryAddresses addresses = new EntryAddresses();
  private final CountDownLatch left = new CountDownLatch(1);
  private Consumer<TrafficReport> reports = report -> {};
  private long leavingSince = -1;

  Traffic(EdgeSettings settings, EventLoop loop) {
    this.settings = settings;
    this.loop = loop;
    this.pool = new BackendPool(loop);
    this.dispatcher = new Dispatcher(settings, pool, metrics);
    this.entry = new Entry(dispatcher, metrics);
  }

  void start(Consumer<TrafficReport> listener) {
    reports = listener;
    listen(
        settings.callers(),
        new ChannelInitializer<SocketChannel>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            entry.open().addTo(channel.pipeline());
          }
        });
    listen(settings.readiness(), new AuxiliaryServer(this::readiness));
    listen(settings.directory(), new AuxiliaryServer(this::resolve));
    listen(settings.metrics(), new AuxiliaryServer(uri -> metricsPage()));
    dispatcher.onFirstExchange(this::tickWhileOpen);
    every(SWEEP_MILLIS, this::sweep);
    every(REPORT_MILLIS, () -> reports.accept(report()));
  }

  /** Moves requests on for as long as there are any: an idle instance need not wake up. */
  private void tickWhileOpen() {
    loop.schedule(
        () -> {
          guarded(() -> dispatcher.tick(Clock.micros()));
          if (dispatcher.openExchanges() > 0) {
            tickWhileOpen();
          } else {
            dispatcher.restsNow();
          }
        },
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private static void guarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      EdgeLog.problem("traffic", e);
    }
  }

  private void every(long millis, Runnable work) {
    Runnable guarded = () -> guarded(work);
    loop.scheduleWithFixedDelay(guarded, millis, millis, TimeUnit.MILLISECONDS);
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

  // ---- questions

  private AuxiliaryServer.Answer readiness(String uri) {
    boolean ready = Directory.isReadiness(uri) && dispatcher.isReady() && leavingSince < 0;
    return AuxiliaryServer.Answer.status(ready ? 200 : 503);
  }

  private AuxiliaryServer.Answer resolve(String uri) {
    Optional<Directory.Question> question = Directory.question(uri);
    if (question.isEmpty()) {
      return AuxiliaryServer.Answer.status(404);
    }
    List<String> list = addresses.addressesFor(question.get().zone(), question.get().region());
    if (list.isEmpty()) {
      return AuxiliaryServer.Answer.status(503);
    }
    double seconds = Math.min(RESOLVE_SECONDS, settings.rules().mostResolveSeconds());
    return AuxiliaryServer.Answer.of(200, JSON, Directory.answer(list, seconds));
  }

  private AuxiliaryServer.Answer metricsPage() {
    return AuxiliaryServer.Answer.of(200, "text/plain", metrics.text());
  }

  // ---- what the control thread tells

  void setCatalog(Catalog catalog) {
    loop.execute(() -> dispatcher.setCatalog(catalog));
  }

  void setServers(List<BackendServer> servers) {
    loop.execute(() -> dispatcher.setServers(servers));
  }

  void setRules(Map<String, VersionRule> rules) {
    loop.execute(() -> dispatcher.setRules(rules));
  }

  /**
   * Sets the other instances that take requests, and how many are live with this one.
   *
   * @param loads work that some of them have under way, by instance
   */
  void setPeers(List<EdgeDigest> ready, int live, Map<String, List<PeerLoad>> loads) {
    List<EntryAddresses.Instance> list = new ArrayList<>();
    for (EdgeDigest peer : ready) {
      list.add(new EntryAddresses.Instance(peer.getFrontAddress(), peer.getZone(), peer.getRegion()));
    }
    loop.execute(
        () -> {
          if (dispatcher.isReady() && leavingSince < 0) {
            list.add(
                new EntryAddresses.Instance(
                    settings.callers().getHostString() + ":" + settings.callers().getPort(),
                    settings.zone(),
                    settings.region()));
          }
          addresses.set(list);
          dispatcher.setInstances(live);
          loads.forEach(dispatcher::setPeerLoads);
        });
  }

  private TrafficReport report() {
    Map<VersionCounts.Key, Evidence> answers = new HashMap<>(dispatcher.versions().snapshot());
    dispatcher
        .openByVersion()
        .forEach((key, open) -> answers.merge(key, new Evidence(0, 0, 0, open), Evidence::plus));
    return new TrafficReport(dispatcher.ownLoads(), answers, dispatcher.isReady());
  }

  // ---- leaving

  private void sweep() {
    long now = Clock.micros();
    pool.sweep(now);
    entry.sweep(now);
    if (leavingSince >= 0) {
      long leavingFor = now - leavingSince;
      if (leavingFor >= CLOSE_IDLE_MICROS) {
        entry.closeIdle();
      }
      boolean idle = leavingFor >= CLOSE_IDLE_MICROS && dispatcher.openExchanges() == 0;
      long most = settings.rules().graceMillis() * 1_000 - END_MARGIN_MICROS;
      if (idle || leavingFor >= most) {
        EdgeLog.event("left").addKeyValue("open", dispatcher.openExchanges()).log();
        left.countDown();
      }
    }
  }

  /** Takes no more work, finishes what is open and returns when that is done. */
  void leave() {
    loop.execute(
        () -> {
          leavingSince = Clock.micros();
          entry.leave(leavingSince + TAKE_WORK_MICROS);
          EdgeLog.event("leaving").addKeyValue("open", dispatcher.openExchanges()).log();
        });
    try {
      if (!left.await(settings.rules().graceMillis(), TimeUnit.MILLISECONDS)) {
        EdgeLog.event("left_late").log();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
