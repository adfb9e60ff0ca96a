package org.kumquatplank.edge;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.ModelChooser;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * The choice of a backend server for an exchange, under the rules of the roll-outs.
 *
 * <p>Confined to the traffic thread.
 */
final class BackendChoice {
  /** Time after a start in which the list of backend servers may still be incomplete. */
  private static final long STARTUP_MICROS = 5_000_000;

  private final long createdAt = Clock.micros();
  private final BackendRegistry registry;
  private final BackendSelector selector;
  private Map<String, VersionRule> versionRules = Map.of();
  private int liveInstances = 1;

  BackendChoice(BackendRegistry registry, BackendSelector selector) {
    this.registry = registry;
    this.selector = selector;
  }

  BackendSelector selector() {
    return selector;
  }

  void setVersionRules(Map<String, VersionRule> newRules) {
    versionRules = newRules;
  }

  void setLiveInstances(int live) {
    liveInstances = live;
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

  /** Returns the time that the request would take with another model. */
  Optional<ModelChooser.LatencyEstimate> estimate(Exchange exchange, String model, long now) {
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
    VersionRule rule =
        versionRules.getOrDefault(exchange.request().service(), new VersionRule.Any());
    boolean failedBefore = !exchange.excludedBackends().isEmpty();
    return new BackendSelector.Constraints(
        exchange.service(), model, failedBefore ? rule.forRetry() : rule, excluded, liveInstances);
  }
}
