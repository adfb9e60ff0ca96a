package org.kumquatplank.edge;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.kumquatplank.core.catalog.CallerLimits;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.catalog.CredentialOwner;
import org.kumquatplank.core.catalog.Route;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.platform.wire.CallerProtocol;
import org.kumquatplank.platform.wire.CallerProtocol.LocalResponse;
import org.kumquatplank.platform.wire.CallerRequestHead;
import org.kumquatplank.platform.wire.EdgeSettings;
import org.kumquatplank.platform.wire.WireException;

/**
 * Admits complete requests of callers: finds the route and client account, and starts an exchange.
 *
 * <p>Confined to the traffic thread.
 */
final class AdmissionController {
  private static final long MICROS_PER_MILLI = 1_000;

  private static final double NOT_READY_RETRY_SECONDS = 0.3;

  private final Dispatcher dispatcher;
  private final EdgeMetrics metrics;
  private final CallerMemory memory;
  private final BufferLimit bufferLimit;
  private final StartupHold startupHold = new StartupHold();
  private boolean draining;
  private long rejectNewAt = Long.MAX_VALUE;

  AdmissionController(
      Dispatcher dispatcher, EdgeMetrics metrics, EdgeSettings.Resources resources) {
    this.memory = new CallerMemory(resources, metrics);
    this.bufferLimit = new BufferLimit(memory);
    this.dispatcher = dispatcher;
    this.metrics = metrics;
  }

  void open(ChannelPipeline pipeline) {
    CallerLimits limits =
        dispatcher.catalog().catalog().map(Catalog::limits).orElse(CallerLimits.INITIAL);
    CallerConnection connection = new CallerConnection(this, memory, limits);
    connection.addTo(pipeline);
    memory.open(connection);
  }

  void onClosed(CallerConnection connection) {
    memory.close(connection);
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Starts draining: each response closes its connection, and new requests are rejected later.
   *
   * @param acceptUntil time from which new requests are rejected, microseconds
   */
  void drain(long acceptUntil) {
    draining = true;
    startupHold.releaseAll(h -> rejectUnready(h.connection(), h.head()));
    rejectNewAt = acceptUntil;
  }

  /** Returns whether a response has not been written completely. */
  boolean hasUnwrittenResponses() {
    return memory.connections().stream().anyMatch(CallerConnection::hasUnwrittenResponse);
  }

  void closeIdle() {
    List.copyOf(memory.connections()).forEach(CallerConnection::closeIfIdle);
  }

  void sweep(long now) {
    memory.sweep(now);
  }

  private void releaseHeld() {
    startupHold.release(Clock.micros(), h -> rejectUnready(h.connection(), h.head()));
  }

  /** Starts an exchange for a request; returns empty if it was responded to at once. */
  Optional<Exchange> begin(CallerConnection connection, HttpRequest request, byte[] body) {
    CallerRequestHead head;
    try {
      head = CallerProtocol.decode(request);
    } catch (WireException e) {
      respond(
          connection,
          Optional.empty(),
          LocalResponse.MALFORMED,
          OptionalDouble.empty(),
          e.getMessage());
      return Optional.empty();
    }
    long now = Clock.micros();
    Optional<Catalog> catalog = dispatcher.catalog().catalog();
    if (catalog.isEmpty()) {
      if (draining || !startupHold.add(connection, head, body, now)) {
        rejectUnready(connection, head);
      } else {
        connection.runAfter(StartupHold.holdMicros(head), this::releaseHeld);
      }
      return Optional.empty();
    }
    if (now >= rejectNewAt) {
      rejectNotRun(connection, head, RetryDelay.LEAVING_SECONDS, "this instance is leaving");
      return Optional.empty();
    }
    return admit(connection, head, body, catalog.get(), now);
  }

  private void rejectUnready(CallerConnection connection, CallerRequestHead head) {
    rejectNotRun(connection, head, NOT_READY_RETRY_SECONDS, "no configuration is known yet");
  }

  /** Admits the requests that arrived before the configuration was known. */
  void onCatalog(Catalog catalog) {
    startupHold.releaseAll(
        h ->
            h.connection()
                .setExchange(admit(h.connection(), h.head(), h.body(), catalog, h.arrivedAt())));
  }

  private Optional<Exchange> admit(
      CallerConnection connection, CallerRequestHead head, byte[] body, Catalog catalog, long now) {
    Optional<Route> route = catalog.route(head.host(), head.path());
    if (route.isEmpty()) {
      rejectUnknown(
          connection, head, LocalResponse.UNKNOWN_ROUTE, "no route for this host and path", now);
      return Optional.empty();
    }
    if (head.attemptId().isEmpty()) {
      reject(connection, head, LocalResponse.MALFORMED, "the id of the request is missing");
      return Optional.empty();
    }
    Optional<CredentialOwner> credential = head.credential().flatMap(catalog::credentialOwner);
    if (catalog.requiresCredentials() && credential.isEmpty() && !route.get().allowsAnonymous()) {
      rejectUnknown(
          connection, head, LocalResponse.UNKNOWN_KEY, "the credential is not known", now);
      return Optional.empty();
    }
    DispatchRequest request = dispatchRequest(head, route.get(), credential, now);
    ServiceInfo service =
        catalog
            .service(request.service())
            .orElseGet(
                () ->
                    new ServiceInfo(
                        request.service(), Integer.MAX_VALUE, Optional.empty(), Map.of()));
    Exchange exchange =
        new Exchange(
            dispatcher,
            connection,
            new ForwardedRequest(head, body, request),
            service,
            bufferLimit);
    dispatcher.start(exchange);
    return exchange.isDone() ? Optional.empty() : Optional.of(exchange);
  }

  private static DispatchRequest dispatchRequest(
      CallerRequestHead head, Route route, Optional<CredentialOwner> credential, long now) {
    long timeoutMillis =
        Math.min(head.timeoutMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
    String id = head.attemptId().orElse("");
    OptionalInt accountPriority =
        credential.map(CredentialOwner::priority).orElse(OptionalInt.empty());
    return new DispatchRequest(
        id,
        route,
        route.serviceFor(id),
        credential.map(CredentialOwner::account).orElse(""),
        route.priorityFor(accountPriority),
        credential.map(o -> route.regions().and(o.regions())).orElse(route.regions()),
        head.session(),
        head.promptSegments(),
        head.promptTokens(),
        head.maxOutputTokens(),
        now,
        now + timeoutMillis * MICROS_PER_MILLI);
  }

  private void rejectNotRun(
      CallerConnection connection, CallerRequestHead head, double retryAfter, String reason) {
    respond(
        connection, head.attemptId(), LocalResponse.NOT_RUN, OptionalDouble.of(retryAfter), reason);
  }

  /** Answers 503 if the configuration is outdated, as a newer one may have the key or route. */
  private void rejectUnknown(
      CallerConnection connection,
      CallerRequestHead head,
      LocalResponse answer,
      String reason,
      long now) {
    if (dispatcher.catalog().isOutdated(now)) {
      String outdated = reason + ", but the configuration is not confirmed to be current";
      rejectNotRun(connection, head, NOT_READY_RETRY_SECONDS, outdated);
    } else {
      reject(connection, head, answer, reason);
    }
  }

  private void reject(
      CallerConnection connection, CallerRequestHead head, LocalResponse answer, String reason) {
    respond(connection, head.attemptId(), answer, OptionalDouble.empty(), reason);
  }

  private void respond(
      CallerConnection connection,
      Optional<String> id,
      LocalResponse answer,
      OptionalDouble retryAfter,
      String reason) {
    ConfirmedCatalog catalog = dispatcher.catalog();
    metrics.count("refused_" + answer.status());
    EdgeLog.event("refused")
        .addKeyValue("id", id.orElse(""))
        .addKeyValue("status", answer.status())
        .addKeyValue("reason", reason)
        .addKeyValue("catalog", catalog.catalog().map(Catalog::version).orElse(-1L))
        .addKeyValue("catalog_age_ms", catalog.ageMicros(Clock.micros()) / MICROS_PER_MILLI)
        .log();
    connection.respond(CallerProtocol.localResponse(answer, id, retryAfter, reason));
  }
}
