package org.kumquatplank.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.pace.PaceReport;

/**
 * Shows what is learned of the pace of the backend servers, in metrics and logs.
 *
 * <p>Confined to the traffic thread.
 */
final class PaceMonitor {
  /** Slowdown from which a backend server counts as slow in the metrics, percent. */
  private static final long SLOW_PERCENT = 120;

  private final BackendRegistry registry;
  private final EdgeMetrics metrics;
  private final boolean on;
  private final Set<BackendState> limited = new HashSet<>();

  /**
   * Creates a monitor.
   *
   * @param on whether the pace is learned; otherwise all servers count as usual
   */
  PaceMonitor(BackendRegistry registry, EdgeMetrics metrics, boolean on) {
    this.registry = registry;
    this.metrics = metrics;
    this.on = on;
  }

  /** Returns whether the pace of backend servers is learned. */
  boolean isOn() {
    return on;
  }

  /** Takes over what a peer has observed. */
  void add(String peer, List<PaceReport> reports) {
    if (on) {
      registry.addPaces(peer, reports, Clock.micros());
    }
  }

  /** Updates metrics and logs, and returns what this instance itself has observed. */
  List<PaceReport> update(long now) {
    if (!on) {
      return List.of();
    }
    limited.removeIf(BackendState::isClosed);
    long slow = 0;
    long slowest = 100;
    for (BackendState state : registry.all()) {
      long percent = state.learnedSlowdownPercent(now);
      slowest = Math.max(slowest, percent);
      slow += percent >= SLOW_PERCENT ? 1 : 0;
      logLimit(state, percent, now);
    }
    metrics.gauge("backends_slow", slow);
    metrics.gauge("backends_limited", limited.size());
    metrics.gauge("backend_slowdown_max_percent", slowest);
    return registry.ownPaces(now);
  }

  private void logLimit(BackendState state, long percent, long now) {
    BackendServer server = state.server();
    int limit = state.pace().limit(server.slots(), now);
    boolean isLow = limit < server.slots() / 2.0;
    boolean wasLow = limited.contains(state);
    if (isLow && !wasLow) {
      limited.add(state);
      log("backend_limit_lowered", server, limit, percent);
    } else if (wasLow && limit >= server.slots()) {
      limited.remove(state);
      log("backend_limit_restored", server, limit, percent);
    }
  }

  private static void log(String event, BackendServer server, int limit, long percent) {
    EdgeLog.event(event)
        .addKeyValue("backend", server.id())
        .addKeyValue("limit", limit)
        .addKeyValue("slots", server.slots())
        .addKeyValue("slowdown_percent", percent)
        .log();
  }
}
