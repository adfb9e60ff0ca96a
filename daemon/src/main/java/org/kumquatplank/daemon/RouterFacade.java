package org.kumquatplank.daemon;

import java.util.Optional;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.RoutingRequest;

/**
 * Access to the router for the threads that serve requests. Router calls run on the control thread.
 *
 * <p>Thread-safe.
 */
final class RouterFacade {
  private final ControlThread controlThread;
  private final ControlState state;
  private final DispatchGate gate;
  private final StreamMonitor monitor;
  private final MicroClock clock;

  RouterFacade(
      ControlThread controlThread,
      ControlState state,
      DispatchGate gate,
      StreamMonitor monitor,
      MicroClock clock) {
    this.controlThread = controlThread;
    this.state = state;
    this.gate = gate;
    this.monitor = monitor;
    this.clock = clock;
  }

  DispatchGate gate() {
    return gate;
  }

  StreamMonitor monitor() {
    return monitor;
  }

  MicroClock clock() {
    return clock;
  }

  /** Submits a request and returns the queue of its actions. */
  ActionQueue submit(RoutingRequest request) {
    ActionQueue actionQueue = new ActionQueue(request);
    controlThread.execute(() -> state.submit(actionQueue, clock.micros()));
    return actionQueue;
  }

  /** Drops a request whose caller has disconnected. */
  void abandon(RoutingRequest request) {
    controlThread.execute(() -> state.abandon(request));
  }

  /** Selects another engine for a request, or returns empty if there is none. */
  Optional<Action.Send> restart(RoutingRequest request) {
    return controlThread.call(() -> state.router().retry(request.id(), false, clock.micros()));
  }

  /** Records a failed attempt on the engine that has the request. */
  void recordFailure(RoutingRequest request) {
    controlThread.execute(() -> state.router().recordFailure(request.id(), clock.micros()));
  }

  void recordFirstToken(RoutingRequest request, long now) {
    controlThread.execute(() -> state.router().recordFirstToken(request.id(), now));
  }

  /** Records the mean time between recent tokens, in microseconds. */
  void recordPace(RoutingRequest request, double microsPerToken, long now) {
    controlThread.execute(
        () -> state.router().recordTokenInterval(request.id(), microsPerToken, now));
  }

  /** Records the end of a request and the number of tokens that were generated. */
  void finished(RoutingRequest request, long tokens, boolean complete) {
    controlThread.execute(() -> state.finished(request.id(), tokens, complete, clock.micros()));
  }

  Configuration configuration() {
    return state.snapshot().configuration();
  }

  Optional<ListedInstance> findBackend(String backend) {
    return state.snapshot().instances().find(backend);
  }
}
