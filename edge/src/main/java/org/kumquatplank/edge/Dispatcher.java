package org.kumquatplank.edge;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.CrashEvidence.BlockedSegment;
import org.kumquatplank.core.dispatch.DrainSchedule;
import org.kumquatplank.core.dispatch.Locality;
import org.kumquatplank.core.dispatch.PrefillRate;
import org.kumquatplank.core.dispatch.SegmentCrashTracker;
import org.kumquatplank.core.dispatch.SilenceTimeout;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.placement.PlacementRules;
import org.kumquatplank.core.rollout.VersionStats;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * Applies the routing decisions: sends each exchange to a backend server, queues it or rejects it.
 *
 * <p>Confined to the traffic thread.
 */
final class Dispatcher {
  private static final long MICROS_PER_MILLI = 1_000;

  private static final String LEAVING = "this instance is leaving";

  private final BackendPool pool;
  private final SendGate gate;
  private final EdgeMetrics metrics;
  private final ConfirmedCatalog catalog;
  private final BackendRegistry registry = BackendRegistry.create();
  private final BackendChoice choice;
  private final SegmentCrashTracker crashTracker = SegmentCrashTracker.create();
  private final CrashDetector crashDetector;
  private final CallOutcomes outcomes;
  private final PaceMonitor paces;
  private final RetryLimits retryLimits;
  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private boolean serversKnown;
  private Optional<DrainSchedule> drain = Optional.empty();
  private Runnable onFirstExchange = () -> {};
  private boolean ticking;
  private boolean startsQueued;

  Dispatcher(
      EdgeSettings settings,
      EdgeOptions options,
      BackendPool pool,
      SendGate gate,
      EdgeMetrics metrics) {
    this.pool = pool;
    this.gate = gate;
    this.metrics = metrics;
    this.catalog = ConfirmedCatalog.create(settings.limits().configPropagationMillis());
    this.choice =
        new BackendChoice(
            registry,
            BackendSelector.create(
                new Locality(settings.zone(), settings.regions()), new PrefillRate()),
            new ColdStarts(settings, catalog, metrics),
            catalog,
            PlacementRules.of(settings.regions()));
    this.paces = new PaceMonitor(registry, metrics, options.learnsPace());
    this.crashDetector = new CrashDetector(pool, crashTracker, metrics, choice::isEvacuated);
    this.retryLimits = new RetryLimits(settings.limits(), metrics);
    this.outcomes = new CallOutcomes(pool, choice.selector(), paces, metrics);
  }

  void setServers(Collection<BackendServer> servers) {
    serversKnown = true;
    choice.setServers(servers);
    onPlacementChanged();
  }

  void setCatalog(Catalog newCatalog) {
    catalog.set(newCatalog);
    onPlacementChanged();
  }

  /** Sends nothing more to these failure domains, and uses the others. */
  void setEvacuated(Set<String> failureDomains) {
    metrics.gauge("evacuated_domains", failureDomains.size());
    choice.setEvacuated(failureDomains, Clock.micros());
    onPlacementChanged();
  }

  /** Rejects queued requests that may no longer be sent anywhere, and starts those that may. */
  private void onPlacementChanged() {
    List.copyOf(exchanges).stream()
        .filter(e -> e.isQueued() && choice.placementRefusal(e).isPresent())
        .forEach(this::rejectUnservable);
    dispatchQueued();
  }

  private void rejectUnservable(Exchange exchange) {
    outcomes.endUnservable(exchange, choice.placementRefusal(exchange));
  }

  void setVersionRules(Map<String, VersionRule> newRules) {
    choice.setVersionRules(newRules);
    outcomes.versionCounts().setRules(newRules);
  }

  /** Returns the backend servers with what this instance and its peers know of each. */
  BackendRegistry registry() {
    return registry;
  }

  BackendChoice choice() {
    return choice;
  }

  PaceMonitor paces() {
    return paces;
  }

  CallOutcomes outcomes() {
    return outcomes;
  }

  CrashDetector crashDetector() {
    return crashDetector;
  }

  ConfirmedCatalog catalog() {
    return catalog;
  }

  boolean isReady() {
    return catalog.catalog().isPresent() && serversKnown;
  }

  BackendPool pool() {
    return pool;
  }

  /** Returns what this instance has seen of each version of each service. */
  Map<VersionCounts.Key, VersionStats> versionStats() {
    return outcomes.versionCounts().snapshot(registry.all(), exchanges, Clock.micros());
  }

  int openExchanges() {
    return exchanges.size();
  }

  /** Sets the action to run when a request arrives and no exchange is open. */
  void onFirstExchange(Runnable work) {
    onFirstExchange = work;
  }

  void onIdle() {
    ticking = false;
  }

  void start(Exchange exchange) {
    exchanges.add(exchange);
    if (!ticking) {
      ticking = true;
      onFirstExchange.run();
    }
    retryLimits.recordRequest(exchange);
    dispatch(exchange);
  }

  private ServiceQueue queue(Exchange exchange) {
    return queues.computeIfAbsent(
        exchange.request().service(), s -> new ServiceQueue(() -> choice.versionRule(s)));
  }

  /** Takes one retry from the limit shared by all instances; returns false if exhausted. */
  boolean takeRetry(Exchange exchange) {
    return retryLimits.take(exchange, choice.liveInstances());
  }

  /** Sends a request to the best backend server, queues it, or fails it if none may serve it. */
  void dispatch(Exchange exchange) {
    gate.run(Clock.micros(), () -> dispatchNow(exchange, Clock.micros()));
  }

  private void dispatchNow(Exchange exchange, long now) {
    if (exchange.endIfLate(now)) {
      return;
    }
    if (isTooLateToStart(exchange, now)) {
      rejectLeaving(exchange);
      return;
    }
    crashTracker.updateBlocks(now);
    Optional<BlockedSegment> block = crashTracker.blockOf(exchange.request());
    if (block.isPresent()) {
      if (!trySendTrial(exchange, block.get(), now)) {
        rejectBlocked(exchange, block.get());
      }
      return;
    }
    ServiceQueue queue = queue(exchange);
    if (!queue.hasAhead(exchange) && tryDispatch(exchange, now)) {
      return;
    }
    if (!choice.isServable(exchange) && !choice.awaitsServers(exchange, now)) {
      rejectUnservable(exchange);
      return;
    }
    if (opensTooLate(exchange, now)) {
      rejectBackingOff(exchange);
      return;
    }
    if (choice.isServable(exchange)
        && choice.isWithheld(exchange, ServiceQueue.blindDeadline(exchange, now), now)) {
      exchange.endWithError("all backend servers are cold", false);
      return;
    }
    if (queue.add(exchange, now)) {
      metrics.count("waited");
    } else {
      reject(exchange, "refused_forecast", "no room in time, by the forecast");
    }
  }

  /** Returns whether all backend servers want nothing for longer than the request may wait. */
  private boolean opensTooLate(Exchange exchange, long now) {
    OptionalLong opensAt = choice.opensAt(exchange, now);
    return opensAt.isPresent() && opensAt.getAsLong() > ServiceQueue.blindDeadline(exchange, now);
  }

  private void reject(Exchange exchange, String counter, String reason) {
    metrics.count(counter);
    exchange.endWithError(reason, false);
  }

  private void rejectBackingOff(Exchange exchange) {
    reject(exchange, "refused_backing_off", "all backend servers ask to wait");
  }

  /** Starts to drain: no request is sent for the first time after the schedule allows it. */
  void drain(DrainSchedule schedule) {
    drain = Optional.of(schedule);
  }

  /** Ends all open requests, since the process is about to end. */
  void endAll() {
    List.copyOf(exchanges).forEach(e -> e.endUnfinished(LEAVING, false));
  }

  private boolean isTooLateToStart(Exchange exchange, long now) {
    return drain.isPresent() && now >= drain.get().acceptUntil() && !exchange.mayHaveRun();
  }

  private void rejectLeaving(Exchange exchange) {
    reject(exchange, "refused_leaving", LEAVING);
  }

  private void rejectQueuedLeaving(long now) {
    List.copyOf(exchanges).stream()
        .filter(e -> e.isQueued() && isTooLateToStart(e, now))
        .forEach(this::rejectLeaving);
  }

  private boolean trySendTrial(Exchange exchange, BlockedSegment block, long now) {
    boolean due = crashDetector.maySendTrial(block, exchange.request(), now);
    if (!due || !tryDispatch(exchange, now)) {
      return false;
    }
    crashTracker.recordTrial(block, now);
    ExchangeLog.trial(exchange, block);
    return true;
  }

  private void rejectBlocked(Exchange exchange, BlockedSegment block) {
    reject(
        exchange, "refused_blocked_segment", "backend servers crash under segment " + block.id());
  }

  private void rejectQueuedBlocked() {
    for (ServiceQueue queue : queues.values()) {
      queue
          .matching(request -> crashTracker.blockOf(request).isPresent())
          .forEach(e -> crashTracker.blockOf(e.request()).ifPresent(b -> rejectBlocked(e, b)));
    }
  }

  private boolean tryDispatch(Exchange exchange, long now) {
    Optional<BackendSelector.Selection> selection = choice.select(exchange, now);
    selection.ifPresent(
        s -> {
          choice.recordSend(exchange, s, now);
          exchange.send(s, now);
        });
    return selection.isPresent();
  }

  private void dispatchQueued() {
    if (!startsQueued) {
      startsQueued = true;
      gate.run(Clock.micros(), this::startQueued);
    }
  }

  private void startQueued() {
    try {
      long now = Clock.micros();
      for (ServiceQueue queue : queues.values()) {
        queue.start(
            now,
            e ->
                e.endIfLate(now)
                    || (crashTracker.blockOf(e.request()).isEmpty() && tryDispatch(e, now)));
      }
    } finally {
      startsQueued = false;
    }
  }

  /** Expires queued requests and checks time-outs; called every 50 ms while requests are open. */
  void tick(long now) {
    for (ServiceQueue queue : queues.values()) {
      queue.removeHopeless(now).forEach(e -> reject(e, "refused_no_room", "no room in time"));
    }
    crashDetector.update(now);
    rejectQueuedBlocked();
    rejectQueuedLeaving(now);
    dispatchQueued();
    for (Exchange exchange : List.copyOf(exchanges)) {
      exchange.tick(now);
    }
    gate.recordTick(now);
  }

  /** Returns the silence of a backend server after which a request is retried, microseconds. */
  long silenceTimeoutMicros(Exchange exchange, BackendCall call, boolean streaming) {
    return SilenceTimeout.timeoutMicros(
        exchange.request().route(),
        call.selection().backend(),
        call.selection().expectedLatencyMicros(),
        streaming,
        Clock.micros());
  }

  /** Returns the delay after which a rejected caller should retry, seconds. */
  double retryAfterSeconds(Exchange exchange) {
    if (drain.isPresent()) {
      return RetryDelay.LEAVING_SECONDS;
    }
    long now = Clock.micros();
    Optional<BlockedSegment> block = crashTracker.blockOf(exchange.request());
    OptionalLong notBefore =
        block.isPresent()
            ? OptionalLong.of(block.get().nextTrialAt())
            : choice.opensAt(exchange, now);
    return notBefore.isPresent()
        ? RetryDelay.seconds(notBefore.getAsLong(), now)
        : queue(exchange).returnSeconds(exchange.request(), now);
  }

  /** Sends a backend server nothing more for the time that it named in a refusal. */
  void onBackOff(BackendState backend, long millis) {
    long now = Clock.micros();
    if (!backend.backOff(now + millis * MICROS_PER_MILLI, now)) {
      return;
    }
    EdgeLog.event("backend_back_off")
        .addKeyValue("backend", backend.server().id())
        .addKeyValue("ms", millis)
        .log();
    List.copyOf(exchanges).stream()
        .filter(e -> e.isQueued() && e.request().service().equals(backend.server().service()))
        .filter(e -> opensTooLate(e, now))
        .forEach(this::rejectBackingOff);
  }

  void onDone(Exchange exchange, String outcome) {
    exchanges.remove(exchange);
    if (exchange.isQueued()) {
      queue(exchange).remove(exchange);
    }
    boolean success = outcome.equals("answered") || outcome.equals("streamed");
    if (success) {
      long sentAt = exchange.call().map(BackendCall::sentAt).orElseGet(Clock::micros);
      queue(exchange).recordResponse(exchange, Clock.micros() - sentAt);
    }
    metrics.count(success ? "good" : "not_good");
    if (!success || EdgeLog.sampleSuccess()) {
      ExchangeLog.done(exchange, outcome);
    }
    dispatchQueued();
  }
}
