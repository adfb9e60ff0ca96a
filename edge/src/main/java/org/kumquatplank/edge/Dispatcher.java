package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.ModelChooser;
import org.kumquatplank.core.dispatch.SilenceTimeout;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.dispatch.Locality;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.PrefillRate;
import org.kumquatplank.core.dispatch.RetryLimit;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.dispatch.WaitQueue;
import org.kumquatplank.platform.wire.BackendHead;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * Joins the decisions to the traffic: what each exchange does next.
 *
 * <p>Confined to the traffic thread.
 */
final class Dispatcher {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  /** Opinion of a model on its own answer, of 100, below which a larger one is asked. */
  private static final int LEAST_CONFIDENCE = 60;

  /** A request waits for room at most this part of its time. */
  private static final double MOST_WAIT_SHARE = 0.5;

  private static final double LEAST_RETRY_SECONDS = 0.15;
  private static final double RETRY_SPREAD_SECONDS = 0.25;

  private final EdgeSettings settings;
  private final BackendPool pool;
  private final EdgeMetrics metrics;
  private final BackendRegistry registry = BackendRegistry.create();
  private final BackendSelector selector;
  private final ModelChooser models = ModelChooser.create(LEAST_CONFIDENCE);
  private final VersionCounts versions = new VersionCounts();
  private final LogThrottle overLimit = LogThrottle.create((long) MICROS_PER_SECOND);
  private final Map<String, RetryLimit> repeats = new HashMap<>();
  private final Map<String, WaitQueue<Exchange>> lines = new HashMap<>();
  private final Set<Exchange> open = new LinkedHashSet<>();
  private Map<String, VersionRule> rules = Map.of();
  private Optional<Catalog> catalog = Optional.empty();
  private boolean serversKnown;
  private int instances = 1;
  private Runnable onFirstExchange = () -> {};
  private boolean ticking;

  Dispatcher(EdgeSettings settings, BackendPool pool, EdgeMetrics metrics) {
    this.settings = settings;
    this.pool = pool;
    this.metrics = metrics;
    this.selector =
        BackendSelector.create(new Locality(settings.zone(), settings.regions()), new PrefillRate());
  }

  // ---- what the control thread tells

  void setCatalog(Catalog newCatalog) {
    catalog = Optional.of(newCatalog);
  }

  void setServers(Collection<BackendServer> servers) {
    serversKnown = true;
    registry.setServers(servers);
    startWaiting();
  }

  void setRules(Map<String, VersionRule> newRules) {
    rules = newRules;
  }

  void setInstances(int live) {
    instances = Math.max(1, live);
  }

  void setPeerLoads(String peer, List<PeerLoad> loads) {
    registry.peerLoads(peer, loads, Clock.micros());
  }

  // ---- what others ask

  Optional<Catalog> catalog() {
    return catalog;
  }

  boolean isReady() {
    return catalog.isPresent() && serversKnown;
  }

  BackendPool pool() {
    return pool;
  }

  VersionCounts versions() {
    return versions;
  }

  /** Returns the number of requests under way at each version of each service. */
  Map<VersionCounts.Key, Integer> openByVersion() {
    Map<VersionCounts.Key, Integer> result = new HashMap<>();
    for (BackendState state : registry.all()) {
      BackendServer server = state.server();
      result.merge(
          new VersionCounts.Key(server.service(), server.softwareVersion()),
          state.requests(),
          Integer::sum);
    }
    return result;
  }

  int openExchanges() {
    return open.size();
  }

  /** Returns what this instance has under way at each backend server. */
  List<PeerLoad> ownLoads() {
    long now = Clock.micros();
    List<PeerLoad> loads = new ArrayList<>();
    for (BackendState state : registry.all()) {
      boolean suspect = state.isOwnSuspect(now);
      if (state.requests() > 0 || suspect) {
        loads.add(
            new PeerLoad(state.server().id(), state.requests(), state.unreadTokens(), suspect));
      }
    }
    return loads;
  }

  /** Sets what is to be done when a request comes and none was open. */
  void onFirstExchange(Runnable work) {
    onFirstExchange = work;
  }

  void restsNow() {
    ticking = false;
  }

  void start(Exchange exchange) {
    open.add(exchange);
    if (!ticking) {
      ticking = true;
      onFirstExchange.run();
    }
    repeatLimit(exchange).request(Clock.micros());
    place(exchange);
  }

  private RetryLimit repeatLimit(Exchange exchange) {
    EdgeSettings.Rules r = settings.rules();
    return repeats.computeIfAbsent(
        exchange.request().service(),
        s ->
            RetryLimit.create(
                r.repeatRatio(), r.repeatAllowance(), r.repeatWindowMillis() * MICROS_PER_MILLI));
  }

  private WaitQueue<Exchange> line(Exchange exchange) {
    return lines.computeIfAbsent(exchange.request().service(), s -> WaitQueue.create());
  }

  /** Takes one repeat out of the limit that all instances share. */
  boolean takeRepeat(Exchange exchange) {
    long now = Clock.micros();
    boolean taken = repeatLimit(exchange).tryTake(instances, now);
    if (!taken) {
      metrics.count("repeats_over_limit");
      overLimit.pass(now).ifPresent(omitted -> logOverLimit(exchange, omitted));
    }
    return taken;
  }

  private void logOverLimit(Exchange exchange, int omitted) {
    EdgeLog.event("repeat_over_limit")
        .addKeyValue("id", exchange.request().id())
        .addKeyValue("instances", instances)
        .addKeyValue("omitted", omitted)
        .log();
  }

  /** Sends a request to the best backend server, lets it wait, or refuses it. */
  void place(Exchange exchange) {
    long now = Clock.micros();
    WaitQueue<Exchange> queue = line(exchange);
    boolean others = queue.size() > 0 && queue.ahead(exchange.request()) > 0;
    if (!others && tryPlace(exchange, now)) {
      return;
    }
    List<BackendState> servers = registry.ofService(exchange.request().service());
    if (!selector.isServable(servers, exchange.request(), terms(exchange))) {
      exchange.giveUp("no backend server may run it", false);
      return;
    }
    long left = exchange.request().deadline() - now;
    exchange.setWaiting(true);
    queue.add(exchange.request(), exchange, now + (long) (left * MOST_WAIT_SHARE));
    metrics.count("waited");
  }

  private boolean tryPlace(Exchange exchange, long now) {
    DispatchRequest request = exchange.request();
    if (exchange.model().isEmpty() && exchange.choosesModel()) {
      exchange.setModel(models.first(request));
    }
    Optional<BackendSelector.Selection> choice =
        selector.choose(registry.ofService(request.service()), request, terms(exchange), now);
    if (choice.isEmpty()) {
      return false;
    }
    selector.sent(choice.get(), request, exchange.model(), now);
    exchange.send(choice.get(), now);
    return true;
  }

  private BackendSelector.Constraints terms(Exchange exchange) {
    return terms(exchange, exchange.model());
  }

  private BackendSelector.Constraints terms(Exchange exchange, Optional<String> model) {
    VersionRule rule = rules.getOrDefault(exchange.request().service(), new VersionRule.Any());
    boolean failedBefore = !exchange.excluded().isEmpty();
    return new BackendSelector.Constraints(
        exchange.service(),
        model,
        failedBefore ? rule.forRepeat() : rule,
        exchange.excluded(),
        instances);
  }

  private Optional<ModelChooser.LatencyEstimate> expected(Exchange exchange, String model, long now) {
    return selector
        .choose(
            registry.ofService(exchange.request().service()),
            exchange.request(),
            terms(exchange, Optional.of(model)),
            now)
        .map(c -> new ModelChooser.LatencyEstimate(c.expectedMicros(), c.queueMicros()));
  }

  /** Returns the model to ask instead of passing on this answer, if any. */
  Optional<String> largerModel(Exchange exchange, OptionalInt confidence) {
    if (!exchange.choosesModel() || confidence.isEmpty() || exchange.model().isEmpty()) {
      return Optional.empty();
    }
    long now = Clock.micros();
    return models.larger(
        exchange.request(),
        exchange.model().get(),
        confidence.getAsInt(),
        m -> expected(exchange, m, now),
        now);
  }

  private void startWaiting() {
    long now = Clock.micros();
    for (WaitQueue<Exchange> queue : lines.values()) {
      queue.startAll(e -> e.isDone() || tryPlace(e, now));
    }
  }

  /** Called a few times a second while requests are open. */
  void tick(long now) {
    for (WaitQueue<Exchange> queue : lines.values()) {
      queue.removeLate(now).forEach(e -> e.giveUp("no room in time", false));
    }
    startWaiting();
    for (Exchange exchange : List.copyOf(open)) {
      exchange.tick(now);
    }
  }

  // ---- time

  /** Returns how long a backend server may be silent before the request goes elsewhere. */
  long patienceMicros(Exchange exchange, BackendCall call, boolean streaming) {
    return SilenceTimeout.micros(
        exchange.request().route(),
        call.choice().backend(),
        call.choice().expectedMicros(),
        streaming,
        Clock.micros());
  }

  /** Returns when a refused caller should try again, seconds. */
  double retrySeconds(Exchange exchange) {
    double left = (exchange.request().deadline() - Clock.micros()) / MICROS_PER_SECOND;
    double spread = RETRY_SPREAD_SECONDS * Math.random();
    return Math.max(0.01, Math.min(left / 3, LEAST_RETRY_SECONDS + spread));
  }

  // ---- what became of sends

  void onFirstAnswer(Exchange exchange, BackendCall call) {
    if (call.wasAloneInQueue()) {
      long micros = Clock.micros() - call.sentAt();
      selector.firstEvent(call.choice(), exchange.model(), micros);
    }
  }

  void onEscalated(Exchange exchange, BackendCall call, OptionalInt confidence, String larger) {
    metrics.count("escalated");
    EdgeLog.event("escalate")
        .addKeyValue("id", exchange.request().id())
        .addKeyValue("model", exchange.model().orElse(""))
        .addKeyValue("confidence", confidence.orElse(-1))
        .addKeyValue("larger", larger)
        .log();
  }

  void onGood(Exchange exchange, BackendCall call, int units) {
    long now = Clock.micros();
    call.choice().backend().succeeded(now);
    long millis = (now - call.sentAt()) / MICROS_PER_MILLI;
    versions.good(call.choice().backend().server(), millis / (double) (1 + units));
    metrics.time(exchange.request().route().name(), now - exchange.request().arrived());
  }

  void onBad(Exchange exchange, BackendCall call, String reason) {
    BackendState backend = call.choice().backend();
    backend.failed(Clock.micros());
    versions.bad(backend.server());
    metrics.count("bad_answers");
    EdgeLog.event("bad_answer")
        .addKeyValue("id", exchange.request().id())
        .addKeyValue("backend", backend.server().id())
        .addKeyValue("version", backend.server().softwareVersion())
        .addKeyValue("reason", reason)
        .log();
  }

  void onSilent(Exchange exchange, BackendCall call, long silentMicros) {
    BackendState backend = call.choice().backend();
    backend.failed(Clock.micros());
    pool.distrust(backend);
    metrics.count("silent");
  }

  void onUnreachable(Exchange exchange, BackendCall call, String reason) {
    call.choice().backend().failed(Clock.micros());
    metrics.count("unreachable");
    EdgeLog.event("unreachable")
        .addKeyValue("id", exchange.request().id())
        .addKeyValue("backend", call.choice().backend().server().id())
        .addKeyValue("reason", reason)
        .log();
  }

  void onRefusedUnrun(Exchange exchange, BackendCall call, BackendHead answer) {
    metrics.count("refused_by_backend");
    EdgeLog.event("refused_by_backend")
        .addKeyValue("id", exchange.request().id())
        .addKeyValue("backend", call.choice().backend().server().id())
        .addKeyValue("status", answer.status())
        .log();
  }

  void onDone(Exchange exchange, String outcome) {
    open.remove(exchange);
    if (exchange.isWaiting()) {
      line(exchange).remove(exchange);
    }
    boolean good = outcome.equals("answered") || outcome.equals("streamed");
    metrics.count(good ? "good" : "not_good");
    if (!good || EdgeLog.sampleGood()) {
      DispatchRequest request = exchange.request();
      EdgeLog.event("done")
          .addKeyValue("id", request.id())
          .addKeyValue("route", request.route().name())
          .addKeyValue("account", request.account())
          .addKeyValue("model", exchange.model().orElse(""))
          .addKeyValue("sends", exchange.sends())
          .addKeyValue("ms", (Clock.micros() - request.arrived()) / MICROS_PER_MILLI)
          .addKeyValue("first_ms", exchange.times().firstMicros() / MICROS_PER_MILLI)
          .addKeyValue("pause_ms", exchange.times().longestPauseMicros() / MICROS_PER_MILLI)
          .addKeyValue("prompt", request.promptTokens())
          .addKeyValue(
              "backend", exchange.call().map(c -> c.choice().backend().server().id()).orElse(""))
          .addKeyValue("outcome", outcome)
          .log();
    }
    startWaiting();
  }
}
