package org.kumquatplank.edge;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.kumquatplank.core.admission.ReturnSchedule;
import org.kumquatplank.core.admission.StartForecast;
import org.kumquatplank.core.admission.WaitingRequests;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * The exchanges of one service that wait, and what is known of how long they will.
 *
 * <p>Confined to the traffic thread.
 */
final class ServiceQueue {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Fraction of its remaining time that a request waits if nothing is known of its start. */
  private static final double BLIND_WAIT_RATIO = 0.5;

  private final WaitingRequests<Exchange> waiting;
  private final StartForecast forecast = StartForecast.create();
  private final ReturnSchedule returns = ReturnSchedule.create();

  ServiceQueue(Supplier<VersionRule> versionRule) {
    waiting = WaitingRequests.create(versionRule);
  }

  private static boolean isRepeated(Exchange exchange) {
    return !exchange.excludedBackends().isEmpty();
  }

  /** Returns whether a request that may run on the same servers waits and is no less urgent. */
  boolean hasAhead(Exchange exchange) {
    return waiting.hasAhead(exchange.request(), isRepeated(exchange));
  }

  /** Queues an exchange; returns false if it would start too late, as far as is certain. */
  boolean add(Exchange exchange, long now) {
    DispatchRequest request = exchange.request();
    int ahead = waiting.countAhead(request, isRepeated(exchange));
    if (forecast.isHopeless(ahead, latestStart(request), now)) {
      logRejected(exchange, ahead, now);
      return false;
    }
    exchange.setQueued(true);
    waiting.add(request, exchange, isRepeated(exchange), blindDeadline(exchange, now));
    forecast.recordWaiting(true, now);
    return true;
  }

  private long latestStart(DispatchRequest request) {
    return request.deadlineMicros() - forecast.shortestResponseMicros(request.route().name());
  }

  /** Returns the time until which a request waits if nothing is known of its start. */
  static long blindDeadline(Exchange exchange, long now) {
    long remainingMicros = exchange.request().deadlineMicros() - now;
    return now + (long) (remainingMicros * BLIND_WAIT_RATIO);
  }

  private void logRejected(Exchange exchange, int ahead, long now) {
    DispatchRequest request = exchange.request();
    EdgeLog.event("no_room_in_time")
        .addKeyValue("id", request.id())
        .addKeyValue("route", request.route().name())
        .addKeyValue("account", request.account())
        .addKeyValue("priority", request.priority())
        .addKeyValue("ahead", ahead)
        .addKeyValue("waiting", waiting.size())
        .addKeyValue("wait_ms", forecast.waitMicros(ahead, now).orElse(-1) / MICROS_PER_MILLI)
        .addKeyValue("left_ms", (request.deadlineMicros() - now) / MICROS_PER_MILLI)
        .addKeyValue("age_ms", (now - request.arrivalMicros()) / MICROS_PER_MILLI)
        .log();
  }

  void remove(Exchange exchange) {
    waiting.remove(exchange);
  }

  /** Removes and returns the exchanges that can't be served in their time any more. */
  List<Exchange> removeHopeless(long now) {
    boolean moving = forecast.waitMicros(0, now).isPresent();
    List<Exchange> hopeless = waiting.removeHopeless(now, r -> moving ? latestStart(r) : now);
    hopeless.forEach(e -> logRejected(e, 0, now));
    return hopeless;
  }

  List<Exchange> matching(Predicate<DispatchRequest> condition) {
    return waiting.matching(condition);
  }

  /** Starts exchanges in order while there is room. */
  void start(long now, Predicate<Exchange> start) {
    if (waiting.size() > 0) {
      forecast.recordStarts(waiting.startWaiting(now, start), now);
    }
    forecast.recordWaiting(waiting.size() > 0, now);
  }

  void recordResponse(Exchange exchange, long micros) {
    forecast.recordResponse(exchange.request().route().name(), micros);
  }

  /** Returns the delay after which a rejected caller should retry, seconds. */
  double returnSeconds(DispatchRequest request, long now) {
    OptionalLong pause = forecast.waitMicros(0, now);
    return returns.nextSeconds(request.deadlineMicros(), pause, now);
  }
}
