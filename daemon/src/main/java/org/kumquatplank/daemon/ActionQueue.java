package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.RoutingRequest;

/**
 * Queue of the router's actions for one request, read by the thread that serves the request.
 *
 * <p>Thread-safe.
 */
final class ActionQueue {
  private final RoutingRequest request;
  private final BlockingQueue<Action> actions = new LinkedBlockingQueue<>();

  ActionQueue(RoutingRequest request) {
    this.request = request;
  }

  RoutingRequest request() {
    return request;
  }

  void add(Action action) {
    actions.add(action);
  }

  /** Removes and returns the next action, or returns empty if there is none by the deadline. */
  Optional<Action> poll(Instant deadline) {
    long millis = Math.max(0, Duration.between(Instant.now(), deadline).toMillis());
    try {
      return Optional.ofNullable(actions.poll(millis, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
