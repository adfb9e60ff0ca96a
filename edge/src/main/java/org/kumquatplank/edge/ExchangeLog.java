package org.kumquatplank.edge;

import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.CrashEvidence.BlockedSegment;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.PromptSegment;
import org.slf4j.spi.LoggingEventBuilder;

/** Log lines on the decisions on one exchange. Confined to the traffic thread. */
final class ExchangeLog {
  private static final long MICROS_PER_MILLI = 1_000;

  private ExchangeLog() {}

  private static LoggingEventBuilder event(String name, Exchange exchange) {
    return EdgeLog.event(name).addKeyValue("id", exchange.request().id());
  }

  private static String backendId(BackendCall call) {
    return call.selection().backend().server().id();
  }

  static void overRetryLimit(Exchange exchange, int instances, int omitted) {
    event("repeat_over_limit", exchange)
        .addKeyValue("instances", instances)
        .addKeyValue("omitted", omitted)
        .log();
  }

  static void trial(Exchange exchange, BlockedSegment block) {
    event("segment_trial", exchange)
        .addKeyValue("segment", block.id())
        .addKeyValue("trials", block.trials() + 1)
        .log();
  }

  static void escalated(Exchange exchange, OptionalInt confidence, String larger) {
    event("escalate", exchange)
        .addKeyValue("model", exchange.model().orElse(""))
        .addKeyValue("confidence", confidence.orElse(-1))
        .addKeyValue("larger", larger)
        .log();
  }

  static void failed(Exchange exchange, BackendServer backend, String reason) {
    event("bad_answer", exchange)
        .addKeyValue("backend", backend.id())
        .addKeyValue("version", backend.softwareVersion())
        .addKeyValue("reason", reason)
        .addKeyValue("events", exchange.eventCount())
        .addKeyValue("segments", segmentIds(exchange.request()))
        .log();
  }

  private static String segmentIds(DispatchRequest request) {
    return request.sharedSegments().stream()
        .map(PromptSegment::id)
        .collect(Collectors.joining(","));
  }

  static void unreachable(Exchange exchange, BackendCall call, String reason) {
    event("unreachable", exchange)
        .addKeyValue("backend", backendId(call))
        .addKeyValue("reason", reason)
        .log();
  }

  static void refusedByBackend(Exchange exchange, BackendCall call, int status) {
    event("refused_by_backend", exchange)
        .addKeyValue("backend", backendId(call))
        .addKeyValue("status", status)
        .log();
  }

  static void done(Exchange exchange, String outcome) {
    DispatchRequest request = exchange.request();
    event("done", exchange)
        .addKeyValue("route", request.route().name())
        .addKeyValue("account", request.account())
        .addKeyValue("model", exchange.model().orElse(""))
        .addKeyValue("sends", exchange.sendCount())
        .addKeyValue("ms", (Clock.micros() - request.arrivalMicros()) / MICROS_PER_MILLI)
        .addKeyValue("first_ms", exchange.times().firstMicros() / MICROS_PER_MILLI)
        .addKeyValue("pause_ms", exchange.times().longestPauseMicros() / MICROS_PER_MILLI)
        .addKeyValue("prompt", request.promptTokens())
        .addKeyValue("backend", exchange.call().map(ExchangeLog::backendId).orElse(""))
        .addKeyValue("outcome", outcome)
        .log();
  }
}
