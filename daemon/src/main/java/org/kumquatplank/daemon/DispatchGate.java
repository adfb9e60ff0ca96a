package org.kumquatplank.daemon;

import java.util.function.Supplier;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;

/** The last check before work leaves for a backend server. Thread-safe. */
final class DispatchGate {
  private final Supplier<ControlSnapshot> view;
  private final Freshness freshness;

  DispatchGate(Supplier<ControlSnapshot> view, Freshness freshness) {
    this.view = view;
    this.freshness = freshness;
  }

  /** Returns the configuration in force, or refuses where it may be outdated. */
  Configuration freshConfiguration() {
    ControlSnapshot current = view.get();
    if (!current.configComplete() || current.configuration().version() == 0) {
      throw RouterException.notRun(
          ErrorCode.NOT_READY, "this instance has no configuration yet; use another address");
    }
    if (!freshness.isFresh()) {
      throw RouterException.notRun(
          ErrorCode.STALE_CONFIGURATION,
          "this instance can't tell whether its configuration is the newest; use another address");
    }
    return current.configuration();
  }

  /** Returns whether the account's work may go to this backend server and version now. */
  boolean permits(String account, String version, String backend) {
    return freshConfiguration().permits(account, version)
        && view.get().instances().takesWork(backend);
  }

  /** Returns whether the backend server takes new work, under a configuration that is current. */
  boolean takesWork(String backend) {
    freshConfiguration();
    return view.get().instances().takesWork(backend);
  }
}
