package org.kumquatplank.edge;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.rollout.UsualPace;
import org.kumquatplank.core.rollout.VersionStats;

/**
 * Counts of good, bad and slow responses per version of each service, as seen by this instance.
 *
 * <p>Confined to the traffic thread.
 */
final class VersionCounts {
  private static final double MICROS_PER_MILLI = 1_000;

  private final Map<Key, VersionStats> counts = new HashMap<>();
  private final UsualPace usualPace = UsualPace.create();
  private Map<String, VersionRule> rules = Map.of();

  /** A version of a service. */
  record Key(String service, String version) {}

  /** Sets the rules of the roll-outs, by service; they name the version that is on trial. */
  void setRules(Map<String, VersionRule> newRules) {
    rules = newRules;
  }

  /** Counts a complete response. */
  void addSuccess(BackendCall call, int eventCount, long now) {
    BackendServer server = call.selection().backend().server();
    double millis = millisSince(call.sentAt(), now);
    int units = 1 + eventCount;
    boolean slow = usualPace.isSlow(call.work(), millis, units);
    add(server, new VersionStats(1, 0, Math.round(millis / units), 0, slow ? 1 : 0, 0));
    if (!isOnTrial(server)) {
      usualPace.record(call.work(), millis, units);
    }
  }

  void addFailure(BackendServer server) {
    add(server, VersionStats.of(0, 1, 0, 0));
  }

  /** Counts a call that is cancelled before its response is complete, if it is overdue. */
  void addCancelled(BackendCall call, long now) {
    if (isOverdue(call, now)) {
      add(call.selection().backend().server(), new VersionStats(0, 0, 0, 0, 0, 1));
    }
  }

  private boolean isOverdue(BackendCall call, long now) {
    double millis = millisSince(call.sentAt(), now);
    return usualPace.isOverdue(call.work(), millis, 1 + call.eventCount());
  }

  private static double millisSince(long at, long now) {
    return (now - at) / MICROS_PER_MILLI;
  }

  private boolean isOnTrial(BackendServer server) {
    return switch (rules.getOrDefault(server.service(), new VersionRule.Any())) {
      case VersionRule.Any any -> false;
      case VersionRule.Except except -> server.softwareVersion().equals(except.version());
      case VersionRule.Only only -> server.softwareVersion().equals(only.version());
      case VersionRule.Trial trial -> server.softwareVersion().equals(trial.version());
    };
  }

  private void add(BackendServer server, VersionStats evidence) {
    counts.merge(keyOf(server), evidence, VersionStats::plus);
  }

  private static Key keyOf(BackendServer server) {
    return new Key(server.service(), server.softwareVersion());
  }

  /** Returns the counts, with the requests that are in flight. */
  Map<Key, VersionStats> snapshot(
      Collection<BackendState> backends, Collection<Exchange> exchanges, long now) {
    Map<Key, VersionStats> result = new HashMap<>(counts);
    for (BackendState state : backends) {
      if (state.inFlightRequests() == 0) {
        continue;
      }
      VersionStats inFlight = VersionStats.of(0, 0, 0, state.inFlightRequests());
      result.merge(keyOf(state.server()), inFlight, VersionStats::plus);
    }
    for (Exchange exchange : exchanges) {
      exchange
          .call()
          .filter(call -> !call.hasEnded() && isOverdue(call, now))
          .ifPresent(
              call ->
                  result.merge(
                      keyOf(call.selection().backend().server()),
                      new VersionStats(0, 0, 0, 0, 0, 1),
                      VersionStats::plus));
    }
    return result;
  }
}
