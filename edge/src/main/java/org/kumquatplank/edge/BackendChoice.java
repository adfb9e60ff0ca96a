package org.kumquatplank.edge;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.ModelChooser;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.placement.Placement;
import org.kumquatplank.core.placement.PlacementRules;
import org.kumquatplank.platform.wire.BackendResponseHead;

/**
 * The choice of a backend server for an exchange, under the rules of the roll-outs and of the
 * placement.
 *
 * <p>Confined to the traffic thread.
 */
final class BackendChoice {
  /** Confidence, 0 to 100, that a model states for its response; below it a larger one is used. */
  private static final int MIN_CONFIDENCE = 60;

  private final ModelChooser modelChooser = ModelChooser.create(MIN_CONFIDENCE);

  /** Time after a start in which the list of backend servers may still be incomplete. */
  private static final long STARTUP_MICROS = 5_000_000;

  private final long createdAt = Clock.micros();
  private final BackendRegistry registry;
  private final BackendSelector selector;
  private final ColdStarts coldStarts;
  private final ConfirmedCatalog catalog;
  private PlacementRules placementRules;
  private Map<String, VersionRule> versionRules = Map.of();
  private int liveInstances = 1;

  BackendChoice(
      BackendRegistry registry,
      BackendSelector selector,
      ColdStarts coldStarts,
      ConfirmedCatalog catalog,
      PlacementRules placementRules) {
    this.registry = registry;
    this.selector = selector;
    this.coldStarts = coldStarts;
    this.catalog = catalog;
    this.placementRules = placementRules;
  }

  ColdStarts coldStarts() {
    return coldStarts;
  }

  /** Replaces the list of backend servers. */
  void setServers(Collection<BackendServer> servers) {
    registry.setServers(servers);
    coldStarts.onListed(registry.all());
  }

  BackendSelector selector() {
    return selector;
  }

  void setVersionRules(Map<String, VersionRule> newRules) {
    versionRules = newRules;
  }

  /** Sets the evacuated failure domains; servers of the others that were evacuated come back. */
  void setEvacuated(Set<String> failureDomains, long now) {
    PlacementRules before = placementRules;
    placementRules = before.withEvacuated(failureDomains);
    registry.takeBack(before, placementRules, Math::random, now);
  }

  /** Returns whether the failure domain of a backend server is evacuated. */
  boolean isEvacuated(BackendState state) {
    return placementRules.isEvacuated(state.server());
  }

  /** Returns whether the request may still be sent to a backend server that was selected. */
  boolean permits(Exchange exchange, BackendState state) {
    return placement(exchange).permits(state.server());
  }

  /** Returns why no backend server may run the request, if its placement is the reason. */
  Optional<PlacementRules.Refusal> placementRefusal(Exchange exchange) {
    return selector.placementRefusal(servers(exchange), exchange.request(), constraints(exchange));
  }

  /** Regions are those of the configuration in force, as the request may have waited. */
  private Placement placement(Exchange exchange) {
    DispatchRequest request = exchange.request();
    return placementRules.within(
        catalog
            .catalog()
            .flatMap(c -> c.regions(request.route().name(), request.account()))
            .orElse(request.regions()));
  }

  /** Returns the rule for the versions of a service that is in force. */
  VersionRule versionRule(String service) {
    return versionRules.getOrDefault(service, new VersionRule.Any());
  }

  void setLiveInstances(int live) {
    liveInstances = Math.max(1, live);
  }

  int liveInstances() {
    return liveInstances;
  }

  /** Applies the limit that a response names, or that it names none. */
  void setRequestLimit(BackendState backend, OptionalDouble requestsPerSecond) {
    if (backend.setRequestLimit(requestsPerSecond, liveInstances, Clock.micros())) {
      EdgeLog.event("backend_limit")
          .addKeyValue("backend", backend.server().id())
          .addKeyValue("per_second", requestsPerSecond.isPresent() ? requestsPerSecond : "none")
          .addKeyValue("instances", liveInstances)
          .log();
    }
  }

  /** Returns the best backend server that takes the request now. */
  Optional<BackendSelector.Selection> select(Exchange exchange, long now) {
    if (exchange.model().isEmpty() && exchange.routerSelectsModel()) {
      exchange.setModel(modelChooser.firstModel(exchange.request()));
    }
    return select(exchange, exchange.model(), now);
  }

  private Optional<BackendSelector.Selection> select(
      Exchange exchange, Optional<String> model, long now) {
    return selector.select(
        servers(exchange),
        exchange.request(),
        constraints(exchange, model, exchange.excludedBackends()),
        now);
  }

  /** Records that the request is sent there. */
  void recordSend(Exchange exchange, BackendSelector.Selection selection, long now) {
    coldStarts.onSend(selection.backend(), now);
    selector.recordSend(selection, exchange.request(), constraints(exchange), now);
  }

  /** Returns whether any backend server may run the request, regardless of current capacity. */
  boolean isServable(Exchange exchange) {
    return selector.isServable(servers(exchange), exchange.request(), constraints(exchange));
  }

  /** Returns whether the instance has just started and no server of the service is listed yet. */
  boolean awaitsServers(Exchange exchange, long now) {
    return now - createdAt < STARTUP_MICROS && servers(exchange).isEmpty();
  }

  /**
   * Returns the time until which all backend servers of the service want nothing, microseconds, or
   * nothing if one of them takes requests.
   */
  OptionalLong opensAt(Exchange exchange, long now) {
    BackendSelector.Constraints all = constraints(exchange, exchange.model(), Set.of());
    return selector.opensAt(servers(exchange), exchange.request(), all, now);
  }

  /** Returns the larger model to use instead of forwarding a response, if any. */
  Optional<String> largerModel(Exchange exchange, BackendResponseHead response) {
    OptionalInt confidence = response.confidence();
    if (!exchange.routerSelectsModel() || confidence.isEmpty() || exchange.model().isEmpty()) {
      return Optional.empty();
    }
    long now = Clock.micros();
    return modelChooser.escalationModel(
        exchange.request(),
        exchange.model().get(),
        confidence.getAsInt(),
        m -> estimate(exchange, m, now),
        now);
  }

  /**
   * Returns whether the request can't be sent before a deadline, as all backend servers are cold
   * and this instance has no share in them.
   */
  boolean isWithheld(Exchange exchange, long until, long now) {
    boolean withheld =
        selector.isWithheld(servers(exchange), exchange.request(), constraints(exchange), until);
    coldStarts.onNotSent(servers(exchange), withheld, now);
    return withheld;
  }

  /** Returns the time that the request would take with another model. */
  private Optional<ModelChooser.LatencyEstimate> estimate(
      Exchange exchange, String model, long now) {
    return select(exchange, Optional.of(model), now)
        .map(c -> new ModelChooser.LatencyEstimate(c.expectedLatencyMicros(), c.queueWaitMicros()));
  }

  private List<BackendState> servers(Exchange exchange) {
    return registry.forService(exchange.request().service());
  }

  private BackendSelector.Constraints constraints(Exchange exchange) {
    return constraints(exchange, exchange.model(), exchange.excludedBackends());
  }

  private BackendSelector.Constraints constraints(
      Exchange exchange, Optional<String> model, Set<BackendState> excluded) {
    VersionRule rule = versionRule(exchange.request().service());
    boolean failedBefore = !exchange.excludedBackends().isEmpty();
    return new BackendSelector.Constraints(
        exchange.service(),
        model,
        failedBefore ? rule.forRetry() : rule,
        placement(exchange),
        excluded,
        liveInstances);
  }
}
