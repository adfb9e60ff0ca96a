package org.kumquatplank.edge;

import java.util.Optional;
import java.util.OptionalInt;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.placement.PlacementRules;
import org.kumquatplank.platform.wire.BackendResponseHead;

/**
 * Records what the calls show of backend servers and their versions, in state, metrics and logs.
 *
 * <p>Confined to the traffic thread.
 */
final class CallOutcomes {
  private final BackendPool pool;
  private final BackendSelector selector;
  private final PaceMonitor paces;
  private final EdgeMetrics metrics;
  private final VersionCounts versionCounts = new VersionCounts();

  CallOutcomes(BackendPool pool, BackendSelector selector, PaceMonitor paces, EdgeMetrics metrics) {
    this.pool = pool;
    this.selector = selector;
    this.paces = paces;
    this.metrics = metrics;
  }

  VersionCounts versionCounts() {
    return versionCounts;
  }

  /** Sends a backend server nothing more that said that it leaves. */
  void onLeaving(BackendState backend) {
    if (backend.recordLeaving()) {
      EdgeLog.event("backend_leaving").addKeyValue("backend", backend.server().id()).log();
    }
  }

  /** Ends an exchange that no backend server may run, and names the rule that refuses it. */
  void endUnservable(Exchange exchange, Optional<PlacementRules.Refusal> refusal) {
    if (refusal.isEmpty()) {
      exchange.endWithError("no backend server may run it", false);
      return;
    }
    switch (refusal.get()) {
      case REGION -> {
        metrics.count("refused_by_region");
        exchange.endWithError("no backend server in its regions", false);
      }
      case EVACUATED -> {
        metrics.count("refused_by_evacuation");
        exchange.endWithError("the failure domains of its backend servers are evacuated", false);
      }
    }
  }

  void onFirstResponse(Exchange exchange, BackendCall call) {
    if (call.hadNoPrefillAhead()) {
      long micros = Clock.micros() - call.sentAt();
      selector.recordFirstEvent(call.selection(), exchange.model(), micros);
    }
  }

  /** Records how long a backend server took, unless it is cold and slower for that reason. */
  void onPace(Exchange exchange, BackendCall call, BackendResponseHead response) {
    boolean cold =
        response.coldRemainingMillis().orElse(0) > 0
            || call.selection().backend().server().coldRemainingMillis() > 0;
    if (paces.isOn() && !cold) {
      long now = Clock.micros();
      long micros = now - call.sentAt();
      selector.recordPace(call.selection(), exchange.request(), exchange.model(), micros, now);
    }
  }

  void onEscalated(Exchange exchange, BackendCall call, OptionalInt confidence, String larger) {
    metrics.count("escalated");
    ExchangeLog.escalated(exchange, confidence, larger);
  }

  void onSuccess(Exchange exchange, BackendCall call, int eventCount) {
    long now = Clock.micros();
    call.selection().backend().recordSuccess(now);
    versionCounts.addSuccess(call, eventCount, now);
    metrics.time(exchange.request().route().name(), now - exchange.request().arrivalMicros());
  }

  void onFailure(Exchange exchange, BackendCall call, String reason) {
    BackendState backend = call.selection().backend();
    backend.recordFailure(Clock.micros());
    versionCounts.addFailure(backend.server());
    metrics.count("bad_answers");
    ExchangeLog.failed(exchange, backend.server(), reason);
  }

  void onCancelled(BackendCall call) {
    versionCounts.addCancelled(call, Clock.micros());
  }

  void onSilent(Exchange exchange, BackendCall call, long silentMicros) {
    BackendState backend = call.selection().backend();
    backend.recordFailure(Clock.micros());
    pool.closeIdle(backend);
    metrics.count("silent");
  }

  void onUnreachable(Exchange exchange, BackendCall call, String reason) {
    call.selection().backend().recordFailure(Clock.micros());
    metrics.count("unreachable");
    ExchangeLog.unreachable(exchange, call, reason);
  }

  void onNotRun(Exchange exchange, BackendCall call, BackendResponseHead response) {
    metrics.count("refused_by_backend");
    ExchangeLog.refusedByBackend(exchange, call, response.status());
  }
}
