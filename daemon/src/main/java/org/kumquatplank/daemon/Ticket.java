package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.RoutingRequest;

/** Carries the router's actions for one request to the thread that serves it. Thread-safe. */
final class Ticket {
  private final RoutingRequest request;
  private final BlockingQueue<Action> actions = new LinkedBlockingQueue<>();

  Ticket(RoutingRequest request) {
    this.request = request;
  }

  RoutingRequest work() {
    return request;
  }

  void deliver(Action action) {
    actions.add(action);
  }

  Optional<Action> await(Instant deadline) {
    long millis = Math.max(0, Duration.between(Instant.now(), deadline).toMillis());
    try {
      return Optional.ofNullable(actions.poll(millis, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
