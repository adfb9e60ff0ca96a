package org.kumquatplank.daemon;

import java.util.Optional;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.RoutingRequest;

/** What a running request needs of the control state. Thread-safe. */
final class Serving {
  private final Control control;
  private final ControlState state;
  private final DispatchGate gate;
  private final StreamMonitor monitor;
  private final MicroClock clock;

  Serving(
      Control control,
      ControlState state,
      DispatchGate gate,
      StreamMonitor monitor,
      MicroClock clock) {
    this.control = control;
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

  Ticket submit(RoutingRequest request) {
    Ticket ticket = new Ticket(request);
    control.run(() -> state.submit(ticket, clock.micros()));
    return ticket;
  }

  void abandon(RoutingRequest request) {
    control.run(() -> state.abandon(request));
  }

  Optional<Action.Start> restart(RoutingRequest request) {
    return control.ask(() -> state.router().restart(request.id(), false, clock.micros()));
  }

  void failed(RoutingRequest request) {
    control.run(() -> state.router().failed(request.id(), clock.micros()));
  }

  void firstToken(RoutingRequest request, long now) {
    control.run(() -> state.router().firstToken(request.id(), now));
  }

  void pace(RoutingRequest request, double microsPerToken, long now) {
    control.run(() -> state.router().tokens(request.id(), microsPerToken, now));
  }

  void finished(RoutingRequest request, long tokens, boolean whole) {
    control.run(() -> state.finished(request.id(), tokens, whole, clock.micros()));
  }

  Configuration configuration() {
    return state.snapshot().configuration();
  }

  Optional<ListedInstance> find(String backend) {
    return state.snapshot().instances().find(backend);
  }
}
