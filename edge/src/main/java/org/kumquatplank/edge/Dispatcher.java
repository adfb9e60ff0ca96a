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
import org.kumquatplank.core.dispatch.BackendBook;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.Demand;
import org.kumquatplank.core.dispatch.ModelChooser;
import org.kumquatplank.core.dispatch.Patience;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.dispatch.Place;
import org.kumquatplank.core.dispatch.Placement;
import org.kumquatplank.core.dispatch.ReadingSpeed;
import org.kumquatplank.core.dispatch.RepeatLimit;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.dispatch.WaitingLine;
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
  private final BackendBook backends = BackendBook.create();
  private final Placement placement;
  private final ModelChooser models = ModelChooser.create(LEAST_CONFIDENCE);
  private final VersionCounts versions = new VersionCounts();
  private final Throttle overLimit = Throttle.create((long) MICROS_PER_SECOND);
  private final Map<String, RepeatLimit> repeats = new HashMap<>();
  private final Map<String, WaitingLine<Exchange>> lines = new HashMap<>();
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
    this.placement =
        Placement.create(new Place(settings.zone(), settings.regions()), new ReadingSpeed());
  }

  // ---- what the control thread tells

  void setCatalog(Catalog newCatalog) {
    catalog = Optional.of(newCatalog);
  }

  void setServers(Collection<BackendServer> servers) {
    serversKnown = true;
    backends.setServers(servers);
    startWaiting();
  }

  void setRules(Map<String, VersionRule> newRules) {
    rules = newRules;
  }

  void setInstances(int live) {
    instances = Math.max(1, live);
  }

  void setPeerLoads(String peer, List<PeerLoad> loads) {
    backends.peerLoads(peer, loads, Clock.micros());
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
    for (BackendState state : backends.all()) {
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
    for (BackendState state : backends.all()) {
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

  private RepeatLimit repeatLimit(Exchange exchange) {
    EdgeSettings.Rules r = settings.rules();
    return repeats.computeIfAbsent(
        exchange.demand().service(),
        s ->
            RepeatLimit.create(
                r.repeatRatio(), r.repeatAllowance(), r.repeatWindowMillis() * MICROS_PER_MILLI));
  }

  private WaitingLine<Exchange> line(Exchange exchange) {
    return lines.computeIfAbsent(exchange.demand().service(), s -> WaitingLine.create());
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
        .addKeyValue("id", exchange.demand().id())
        .addKeyValue("instances", instances)
        .addKeyValue("omitted", omitted)
        .log();
  }

  /** Sends a request to the best backend server, lets it wait, or refuses it. */
  void place(Exchange exchange) {
    long now = Clock.micros();
    WaitingLine<Exchange> line = line(exchange);
    boolean others = line.size() > 0 && line.ahead(exchange.demand()) > 0;
    if (!others && tryPlace(exchange, now)) {
      return;
    }
    List<BackendState> servers = backends.ofService(exchange.demand().service());
    if (!placement.isServable(servers, exchange.demand(), terms(exchange))) {
      exchange.giveUp("no backend server may run it", false);
      return;
    }
    long left = exchange.demand().deadline() - now;
    exchange.setWaiting(true);
    line.add(exchange.demand(), exchange, now + (long) (left * MOST_WAIT_SHARE));
    metrics.count("waited");
  }

  private boolean tryPlace(Exchange exchange, long now) {
    Demand demand = exchange.demand();
    if (exchange.model().isEmpty() && exchange.choosesModel()) {
      exchange.setModel(models.first(demand));
    }
    Optional<Placement.Choice> choice =
        placement.choose(backends.ofService(demand.service()), demand, terms(exchange), now);
    if (choice.isEmpty()) {
      return false;
    }
    placement.sent(choice.get(), demand, exchange.model(), now);
    exchange.send(choice.get(), now);
    return true;
  }

  private Placement.Terms terms(Exchange exchange) {
    return terms(exchange, exchange.model());
  }

  private Placement.Terms terms(Exchange exchange, Optional<String> model) {
    VersionRule rule = rules.getOrDefault(exchange.demand().service(), new VersionRule.Any());
    boolean failedBefore = !exchange.excluded().isEmpty();
    return new Placement.Terms(
        exchange.service(),
        model,
        failedBefore ? rule.forRepeat() : rule,
        exchange.excluded(),
        instances);
  }

  private Optional<ModelChooser.Expected> expected(Exchange exchange, String model, long now) {
    return placement
        .choose(
            backends.ofService(exchange.demand().service()),
            exchange.demand(),
            terms(exchange, Optional.of(model)),
            now)
        .map(c -> new ModelChooser.Expected(c.expectedMicros(), c.queueMicros()));
  }

  /** Returns the model to ask instead of passing on this answer, if any. */
  Optional<String> largerModel(Exchange exchange, OptionalInt confidence) {
    if (!exchange.choosesModel() || confidence.isEmpty() || exchange.model().isEmpty()) {
      return Optional.empty();
    }
    long now = Clock.micros();
    return models.larger(
        exchange.demand(),
        exchange.model().get(),
        confidence.getAsInt(),
        m -> expected(exchange, m, now),
        now);
  }

  private void startWaiting() {
    long now = Clock.micros();
    for (WaitingLine<Exchange> line : lines.values()) {
      line.startAll(e -> e.isDone() || tryPlace(e, now));
    }
  }

  /** Called a few times a second while requests are open. */
  void tick(long now) {
    for (WaitingLine<Exchange> line : lines.values()) {
      line.removeLate(now).forEach(e -> e.giveUp("no room in time", false));
    }
    startWaiting();
    for (Exchange exchange : List.copyOf(open)) {
      exchange.tick(now);
    }
  }

  // ---- time

  /** Returns how long a backend server may be silent before the request goes elsewhere. */
  long patienceMicros(Exchange exchange, BackendCall call, boolean streaming) {
    return Patience.micros(
        exchange.demand().route(),
        call.choice().backend(),
        call.choice().expectedMicros(),
        streaming,
        Clock.micros());
  }

  /** Returns when a refused caller should try again, seconds. */
  double retrySeconds(Exchange exchange) {
    double left = (exchange.demand().deadline() - Clock.micros()) / MICROS_PER_SECOND;
    double spread = RETRY_SPREAD_SECONDS * Math.random();
    return Math.max(0.01, Math.min(left / 3, LEAST_RETRY_SECONDS + spread));
  }

  // ---- what became of sends

  void onFirstAnswer(Exchange exchange, BackendCall call) {
    if (call.wasAloneInQueue()) {
      long micros = Clock.micros() - call.sentAt();
      placement.firstEvent(call.choice(), exchange.model(), micros);
    }
  }

  void onEscalated(Exchange exchange, BackendCall call, OptionalInt confidence, String larger) {
    metrics.count("escalated");
    EdgeLog.event("escalate")
        .addKeyValue("id", exchange.demand().id())
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
    metrics.time(exchange.demand().route().name(), now - exchange.demand().arrived());
  }

  void onBad(Exchange exchange, BackendCall call, String reason) {
    BackendState backend = call.choice().backend();
    backend.failed(Clock.micros());
    versions.bad(backend.server());
    metrics.count("bad_answers");
    EdgeLog.event("bad_answer")
        .addKeyValue("id", exchange.demand().id())
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
        .addKeyValue("id", exchange.demand().id())
        .addKeyValue("backend", call.choice().backend().server().id())
        .addKeyValue("reason", reason)
        .log();
  }

  void onRefusedUnrun(Exchange exchange, BackendCall call, BackendHead answer) {
    metrics.count("refused_by_backend");
    EdgeLog.event("refused_by_backend")
        .addKeyValue("id", exchange.demand().id())
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
      Demand demand = exchange.demand();
      EdgeLog.event("done")
          .addKeyValue("id", demand.id())
          .addKeyValue("route", demand.route().name())
          .addKeyValue("account", demand.account())
          .addKeyValue("model", exchange.model().orElse(""))
          .addKeyValue("sends", exchange.sends())
          .addKeyValue("ms", (Clock.micros() - demand.arrived()) / MICROS_PER_MILLI)
          .addKeyValue("first_ms", exchange.times().firstMicros() / MICROS_PER_MILLI)
          .addKeyValue("pause_ms", exchange.times().longestPauseMicros() / MICROS_PER_MILLI)
          .addKeyValue("prompt", demand.promptTokens())
          .addKeyValue(
              "backend", exchange.call().map(c -> c.choice().backend().server().id()).orElse(""))
          .addKeyValue("outcome", outcome)
          .log();
    }
    startWaiting();
  }
}
