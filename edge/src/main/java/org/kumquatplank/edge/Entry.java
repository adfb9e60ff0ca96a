package org.kumquatplank.edge;

import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.kumquatplank.core.catalog.AccountCredential;
import org.kumquatplank.core.catalog.CallerLimits;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.catalog.Route;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.platform.wire.CallerHead;
import org.kumquatplank.platform.wire.CallerProtocol;
import org.kumquatplank.platform.wire.CallerProtocol.OwnAnswer;
import org.kumquatplank.platform.wire.WireException;

/**
 * Takes whole requests of callers: finds their class of work and client account, and starts them.
 *
 * <p>Confined to the traffic thread.
 */
final class Entry {
  private static final long MICROS_PER_MILLI = 1_000;

  /** A request that comes while this instance leaves is sent on to another one at once. */
  private static final double LEAVING_RETRY_SECONDS = 0.02;

  private static final double UNREADY_RETRY_SECONDS = 0.3;

  private final Dispatcher dispatcher;
  private final EdgeMetrics metrics;
  private final Set<CallerConnection> connections = new HashSet<>();
  private boolean leaving;
  private long refuseNewAt = Long.MAX_VALUE;

  Entry(Dispatcher dispatcher, EdgeMetrics metrics) {
    this.dispatcher = dispatcher;
    this.metrics = metrics;
  }

  CallerConnection open() {
    CallerLimits limits = dispatcher.catalog().map(Catalog::limits).orElse(CallerLimits.INITIAL);
    CallerConnection connection = new CallerConnection(this, limits);
    connections.add(connection);
    return connection;
  }

  void closed(CallerConnection connection) {
    connections.remove(connection);
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Tells callers with each answer to connect elsewhere, and takes no new work after a time. */
  void leave(long takeWorkUntil) {
    leaving = true;
    refuseNewAt = takeWorkUntil;
  }

  void closeIdle() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  void sweep(long now) {
    List.copyOf(connections).forEach(c -> c.sweep(now));
  }

  /** Starts a request, or answers it at once. */
  Optional<Exchange> begin(CallerConnection caller, HttpRequest request, byte[] body) {
    CallerHead head;
    try {
      head = CallerProtocol.decode(request);
    } catch (WireException e) {
      answer(caller, Optional.empty(), OwnAnswer.MALFORMED, OptionalDouble.empty(), e.getMessage());
      return Optional.empty();
    }
    long now = Clock.micros();
    if (dispatcher.catalog().isEmpty()) {
      notRun(caller, head, UNREADY_RETRY_SECONDS, "no configuration is known yet");
      return Optional.empty();
    }
    if (now >= refuseNewAt) {
      notRun(caller, head, LEAVING_RETRY_SECONDS, "this instance is leaving");
      return Optional.empty();
    }
    return admit(caller, head, body, dispatcher.catalog().get(), now);
  }

  private Optional<Exchange> admit(
      CallerConnection caller, CallerHead head, byte[] body, Catalog catalog, long now) {
    Optional<Route> route = catalog.route(head.host(), head.path());
    if (route.isEmpty()) {
      refuse(caller, head, OwnAnswer.UNKNOWN_ROUTE, "no route for this host and path");
      return Optional.empty();
    }
    if (head.id().isEmpty()) {
      refuse(caller, head, OwnAnswer.MALFORMED, "the id of the request is missing");
      return Optional.empty();
    }
    Optional<AccountCredential> key = head.credential().flatMap(catalog::key);
    if (catalog.asksForKeys() && key.isEmpty() && !route.get().anonymous()) {
      refuse(caller, head, OwnAnswer.UNKNOWN_KEY, "the credential is not known");
      return Optional.empty();
    }
    DispatchRequest request = dispatchRequest(head, route.get(), key, now);
    ServiceInfo service =
        catalog
            .service(request.service())
            .orElseGet(() -> new ServiceInfo(request.service(), Integer.MAX_VALUE, Map.of()));
    Exchange exchange = new Exchange(dispatcher, caller, head, body, request, service);
    dispatcher.start(exchange);
    return exchange.isDone() ? Optional.empty() : Optional.of(exchange);
  }

  private static DispatchRequest dispatchRequest(CallerHead head, Route route, Optional<AccountCredential> key, long now) {
    long wait = Math.min(head.waitMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
    String id = head.id().orElse("");
    OptionalInt rank = key.map(AccountCredential::priority).orElse(OptionalInt.empty());
    return new DispatchRequest(
        id,
        route,
        route.serviceOf(id),
        key.map(AccountCredential::account).orElse(""),
        route.priorityFor(rank),
        head.session(),
        head.parts(),
        head.promptTokens(),
        head.outputTokens(),
        now,
        now + wait * MICROS_PER_MILLI);
  }

  private void notRun(CallerConnection caller, CallerHead head, double retry, String reason) {
    answer(caller, head.id(), OwnAnswer.NOT_RUN, OptionalDouble.of(retry), reason);
  }

  private void refuse(CallerConnection caller, CallerHead head, OwnAnswer answer, String reason) {
    answer(caller, head.id(), answer, OptionalDouble.empty(), reason);
  }

  private void answer(
      CallerConnection caller,
      Optional<String> id,
      OwnAnswer answer,
      OptionalDouble retry,
      String reason) {
    metrics.count("refused_" + answer.status());
    EdgeLog.event("refused")
        .addKeyValue("id", id.orElse(""))
        .addKeyValue("status", answer.status())
        .addKeyValue("reason", reason)
        .addKeyValue("catalog", dispatcher.catalog().map(Catalog::version).orElse(-1L))
        .log();
    caller.answer(CallerProtocol.answer(answer, id, retry, reason));
  }
}
