package org.kumquatplank.core.dispatch;

import org.kumquatplank.core.catalog.BackendServer;

/** Which versions of a service's software may get a request. */
public sealed interface VersionRule {
  /** Every version may. */
  record Any() implements VersionRule {}

  /** Every version but one may. */
  record Except(String version) implements VersionRule {}

  /** Only one version may. */
  record Only(String version) implements VersionRule {}

  /**
   * A part of the requests goes to a version that is on trial.
   *
   * @param version the version on trial
   * @param share part of the requests, 0 to 1; it only grows during a trial
   * @param withSessions whether requests of a session may move to it
   */
  record Trial(String version, double share, boolean withSessions) implements VersionRule {}

  /** Returns whether a backend server may get the request. */
  default boolean permits(BackendServer server, DispatchRequest request) {
    return switch (this) {
      case Any any -> true;
      case Except except -> !server.softwareVersion().equals(except.version());
      case Only only -> server.softwareVersion().equals(only.version());
      case Trial trial ->
          server.softwareVersion().equals(trial.version()) == takesPart(trial, request);
    };
  }

  /**
   * Returns the rule for a request that already failed somewhere.
   *
   * <p>It never goes to a version on trial: that may be bad, and this request has few sends left.
   */
  default VersionRule forRepeat() {
    return this instanceof Trial trial ? new Except(trial.version()) : this;
  }

  private static boolean takesPart(Trial trial, DispatchRequest request) {
    if (request.session().isPresent() && !trial.withSessions()) {
      return false;
    }
    String key = request.session().orElse(request.id());
    double point = (mix(key.hashCode()) & 0xFFFF) / 65_536.0;
    return point < trial.share();
  }

  private static int mix(int hash) {
    int h = hash * 0x85EBCA6B;
    h ^= h >>> 13;
    h *= 0xC2B2AE35;
    return h ^ (h >>> 16);
  }
}
