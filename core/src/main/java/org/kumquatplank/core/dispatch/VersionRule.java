package org.kumquatplank.core.dispatch;

import org.kumquatplank.core.catalog.BackendServer;

/** Rule for the software versions of a service that may get a request. */
public sealed interface VersionRule {
  /** Permits every version. */
  record Any() implements VersionRule {}

  /** Permits every version except one. */
  record Except(String version) implements VersionRule {}

  /** Permits only one version. */
  record Only(String version) implements VersionRule {}

  /**
   * Sends a share of the requests to a version on trial.
   *
   * @param version the version on trial
   * @param share share of the requests, 0 to 1; never decreases during a trial
   * @param includesSessions whether requests of a session may move to the version on trial
   */
  record Trial(String version, double share, boolean includesSessions) implements VersionRule {}

  /** Returns whether the rule permits sending the request to the backend server. */
  default boolean permits(BackendServer server, DispatchRequest request) {
    return switch (this) {
      case Any any -> true;
      case Except except -> !server.softwareVersion().equals(except.version());
      case Only only -> server.softwareVersion().equals(only.version());
      case Trial trial ->
          server.softwareVersion().equals(trial.version()) == isInTrial(trial, request);
    };
  }

  /**
   * Returns the rule for a retry of a failed request.
   *
   * <p>A retry never goes to a version on trial: that version may be bad, and the request has few
   * sends left.
   */
  default VersionRule forRetry() {
    return this instanceof Trial trial ? new Except(trial.version()) : this;
  }

  /** Returns whether the request goes to a version on trial. */
  default boolean isOnTrial(DispatchRequest request) {
    return this instanceof Trial trial && isInTrial(trial, request);
  }

  private static boolean isInTrial(Trial trial, DispatchRequest request) {
    if (request.session().isPresent() && !trial.includesSessions()) {
      return false;
    }
    String key = request.session().orElse(request.id());
    double bucket = (mix(key.hashCode()) & 0xFFFF) / 65_536.0;
    return bucket < trial.share();
  }

  private static int mix(int hash) {
    int h = hash * 0x85EBCA6B;
    h ^= h >>> 13;
    h *= 0xC2B2AE35;
    return h ^ (h >>> 16);
  }
}
