package org.kumquatplank.daemon;

import java.util.function.Supplier;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;

/** Final check before a request is sent to a backend server. Thread-safe. */
final class DispatchGate {
  private final Supplier<ControlSnapshot> snapshots;
  private final Freshness freshness;

  DispatchGate(Supplier<ControlSnapshot> snapshots, Freshness freshness) {
    this.snapshots = snapshots;
    this.freshness = freshness;
  }

  /**
   * Returns the configuration in force.
   *
   * @throws RouterException if there is no configuration or it may be outdated
   */
  Configuration requireFreshConfiguration() {
    ControlSnapshot current = snapshots.get();
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

  /** Returns whether a request of the account may be sent to this version and backend server. */
  boolean permits(String account, String version, String backend) {
    return requireFreshConfiguration().permits(account, version)
        && snapshots.get().instances().acceptsRequests(backend);
  }

  /**
   * Returns whether the backend server accepts new requests.
   *
   * @throws RouterException if there is no configuration or it may be outdated
   */
  boolean acceptsRequests(String backend) {
    requireFreshConfiguration();
    return snapshots.get().instances().acceptsRequests(backend);
  }
}
