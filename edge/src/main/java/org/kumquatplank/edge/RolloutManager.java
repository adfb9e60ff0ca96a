package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.membership.Succession;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.rollout.RolloutStateMachine;
import org.kumquatplank.core.rollout.VersionStats;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.RolloutDigest;
import org.kumquatplank.link.proto.VersionEvidence;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.RolloutStatus;

/**
 * Tracks the roll-outs that the operator ordered and records their status in the store.
 *
 * <p>Every instance tracks all of them. The first of the live instances writes their status; if it
 * does not, the next ones record the outcome. Writes are conditional, so that two instances can't
 * overwrite each other. Confined to the control thread.
 */
final class RolloutManager {
  private static final String STATUS_TOPIC = "status";
  private static final String OWN_SOURCE = "own";
  private static final long STATUS_SYNC_INTERVAL_MICROS = 400_000;

  /** Time for which digests name a completed roll-out, so that all peers learn of it. */
  private static final long COMPLETION_DIGEST_MICROS = 5_000_000;

  private final StoreClient store;
  private final Map<String, TrackedRollout> rollouts = new HashMap<>();
  private final Map<String, Set<String>> knownVersions = new HashMap<>();
  private Map<VersionCounts.Key, VersionStats> evidence = Map.of();
  private List<BackendServer> servers = List.of();
  private Set<String> evacuated = Set.of();
  private long era = LogPosition.NO_ERA;
  private boolean statusKnown = true;
  private boolean storeCallPending;
  private long nextSyncAt;

  RolloutManager(StoreClient store) {
    this.store = store;
  }

  /**
   * Applies an order to roll out.
   *
   * @param isNew whether the order was given while this instance ran, so that no status of it can
   *     have been recorded before
   */
  void onOrder(RolloutOrder order, boolean isNew, long now) {
    TrackedRollout known = rollouts.get(order.service());
    if (known != null && known.isRepeatedBy(order)) {
      known.moveTo(order.position());
      return;
    }
    if (known != null && !known.position().isSupersededBy(order.position())) {
      return;
    }
    EdgeLog.event("rollout_ordered")
        .addKeyValue("service", order.service())
        .addKeyValue("target", order.targetVersion())
        .addKeyValue("order", order.position())
        .log();
    rollouts.put(order.service(), TrackedRollout.begin(order, isNew, evidence, now));
    statusKnown &= isNew;
  }

  /** Sets the era of the store; the statuses may be missing in a new one. */
  void setEra(long newEra) {
    if (newEra != era) {
      era = newEra;
      rollouts.values().forEach(TrackedRollout::forgetRecorded);
      statusKnown &= rollouts.isEmpty();
    }
  }

  /** Sets the failure domains whose servers get no requests, and so yield no evidence. */
  void setEvacuated(Set<String> failureDomains) {
    evacuated = failureDomains;
  }

  void onServers(List<BackendServer> newServers) {
    servers = newServers;
    for (BackendServer server : newServers) {
      Set<String> known = knownVersions.computeIfAbsent(server.service(), s -> new HashSet<>());
      if (known.isEmpty()) {
        newServers.stream()
            .filter(s -> s.service().equals(server.service()))
            .forEach(s -> known.add(s.softwareVersion()));
      }
    }
  }

  void onEvidence(Map<VersionCounts.Key, VersionStats> newEvidence) {
    evidence = newEvidence;
    for (TrackedRollout rollout : rollouts.values()) {
      rollout
          .machine()
          .updateStats(OWN_SOURCE, ownEvidence(rollout, true), ownEvidence(rollout, false));
    }
  }

  private VersionStats ownEvidence(TrackedRollout rollout, boolean target) {
    VersionStats sum = VersionStats.NONE;
    String targetVersion = rollout.machine().order().targetVersion();
    for (Map.Entry<VersionCounts.Key, VersionStats> entry : evidence.entrySet()) {
      VersionCounts.Key key = entry.getKey();
      boolean same = key.service().equals(rollout.service());
      if (same && key.version().equals(targetVersion) == target) {
        VersionStats old = rollout.baseline().getOrDefault(key, VersionStats.NONE);
        sum = sum.plus(entry.getValue().since(old));
      }
    }
    return sum;
  }

  void addTo(EdgeDigest.Builder digest, long now) {
    for (TrackedRollout rollout : rollouts.values()) {
      RolloutStateMachine machine = rollout.machine();
      RolloutStateMachine.Phase phase = machine.phase(now);
      boolean completed = phase == RolloutStateMachine.Phase.COMPLETED;
      if (completed && now > rollout.outcomeSince(now) + COMPLETION_DIGEST_MICROS) {
        continue;
      }
      digest.addRollouts(
          RolloutDigest.newBuilder()
              .setService(rollout.service())
              .setOrder(rollout.position().offset())
              .setOrderEra(rollout.position().era())
              .setElapsedMillis(Math.max(0, machine.elapsedMicros(now) / 1_000))
              .setWithdrawn(phase == RolloutStateMachine.Phase.WITHDRAWN)
              .setStep(machine.step())
              .setRecorded(rollout.hasRecordedOutcome())
              .setRecordedEra(era)
              .setTarget(encode(ownEvidence(rollout, true)))
              .setRest(encode(ownEvidence(rollout, false))));
    }
  }

  private static VersionEvidence encode(VersionStats evidence) {
    return VersionEvidence.newBuilder()
        .setGood(evidence.succeeded())
        .setBad(evidence.failed())
        .setPaceMillis(evidence.totalMillisPerUnit())
        .setOpen(evidence.inFlight())
        .setSlow(evidence.slow())
        .setOverdue(evidence.overdue())
        .build();
  }

  private static VersionStats decode(VersionEvidence evidence) {
    return new VersionStats(
        evidence.getGood(),
        evidence.getBad(),
        evidence.getPaceMillis(),
        evidence.getOpen(),
        evidence.getSlow(),
        evidence.getOverdue());
  }

  void onDigest(EdgeDigest digest, long now) {
    for (RolloutDigest received : digest.getRolloutsList()) {
      TrackedRollout rollout = rollouts.get(received.getService());
      LogPosition position = LogPosition.of(received.getOrderEra(), received.getOrder());
      if (rollout == null || !rollout.isAt(position)) {
        continue;
      }
      RolloutStateMachine machine = rollout.machine();
      machine.extendElapsed(received.getElapsedMillis() * 1_000, now);
      // A restarted instance counts from zero under a new source; its earlier evidence is kept.
      String source = digest.getInstance() + "/" + digest.getStartedMillis();
      machine.updateStats(source, decode(received.getTarget()), decode(received.getRest()));
      machine.catchUp(received.getStep(), now);
      if (received.getWithdrawn()) {
        machine.rollBack();
      }
      // What a peer saw in an earlier era may be gone since.
      if (received.getRecorded() && received.getRecordedEra() >= era) {
        rollout.setRecorded(
            received.getWithdrawn()
                ? RolloutStatus.State.ROLLED_BACK
                : RolloutStatus.State.COMPLETED);
      }
    }
  }

  Map<String, VersionRule> rules(long now) {
    Map<String, VersionRule> rules = new HashMap<>();
    for (BackendServer server : servers) {
      Set<String> known = knownVersions.getOrDefault(server.service(), Set.of());
      if (!known.contains(server.softwareVersion()) && !rollouts.containsKey(server.service())) {
        // A new version whose roll-out order has not been read yet must not receive requests.
        rules.put(server.service(), new VersionRule.Except(server.softwareVersion()));
      }
    }
    rollouts.forEach((service, r) -> rules.put(service, rule(service, r.machine(), now)));
    rollouts.values().forEach(r -> r.logProgress(now));
    return rules;
  }

  /** Returns the rule in force, or one that can be met if no server of its version is left. */
  private VersionRule rule(String service, RolloutStateMachine machine, long now) {
    return switch (machine.rule(now)) {
      case VersionRule.Any any -> any;
      case VersionRule.Except except ->
          servesAny(service, s -> !s.softwareVersion().equals(except.version()))
              ? except
              : new VersionRule.Any();
      case VersionRule.Only only ->
          hasServersInUse(service, only.version()) ? only : new VersionRule.Any();
      case VersionRule.Trial trial -> {
        if (!servesAny(service, s -> !s.softwareVersion().equals(trial.version()))) {
          yield new VersionRule.Any();
        }
        yield hasServersInUse(service, trial.version())
            ? trial
            : new VersionRule.Except(trial.version());
      }
    };
  }

  private boolean servesAny(String service, Predicate<BackendServer> condition) {
    return servers.stream().anyMatch(s -> s.service().equals(service) && condition.test(s));
  }

  private boolean hasServersInUse(String service, String version) {
    return servesAny(
        service,
        s ->
            s.softwareVersion().equals(version)
                && !s.draining()
                && !evacuated.contains(s.failureDomain()));
  }

  /** Reads the recorded status of the roll-outs and writes changed ones if it is the turn. */
  void syncStatus(Succession succession, long now) {
    if (rollouts.isEmpty() || storeCallPending || now < nextSyncAt) {
      return;
    }
    if (statusKnown && unrecordedStatuses(succession, now).isEmpty()) {
      return;
    }
    storeCallPending = true;
    nextSyncAt = now + STATUS_SYNC_INTERVAL_MICROS;
    store
        .readNewest(STATUS_TOPIC)
        .whenComplete(
            (page, failure) -> {
              storeCallPending = false;
              if (failure != null) {
                EdgeLog.event("rollout_status_unread")
                    .addKeyValue("cause", String.valueOf(failure.getMessage()))
                    .log();
              } else {
                readStatus(page.records(), Clock.micros());
                writeStatus(page.next(), succession, Clock.micros());
              }
            });
  }

  private void readStatus(List<StoreRecord> records, long now) {
    Map<String, StoreRecord> byKey = StoreFollower.byKey(records);
    for (TrackedRollout rollout : rollouts.values()) {
      StoreRecord record = byKey.get(RolloutStatus.key(rollout.service()));
      if (record != null && record.value().isPresent()) {
        StoreFollower.applyOrLog(
            record, r -> adopt(rollout, RolloutStatus.decode(r.value().get()), now));
      }
    }
    statusKnown = true;
  }

  private static void adopt(TrackedRollout rollout, RolloutStatus status, long now) {
    if (!rollout.isOf(status)) {
      return;
    }
    rollout.setStartedMillis(status.startedMillis());
    rollout.setRecorded(status.state());
    if (status.state() == RolloutStatus.State.RUNNING) {
      long elapsedMillis = Math.max(0, System.currentTimeMillis() - status.startedMillis());
      rollout.machine().extendElapsed(1_000 * elapsedMillis, now);
    }
  }

  private List<RolloutStatus> unrecordedStatuses(Succession succession, long now) {
    List<RolloutStatus> result = new ArrayList<>();
    for (TrackedRollout rollout : rollouts.values()) {
      if (rollout.hasRecordedOutcome()) {
        continue;
      }
      RolloutStatus.State state = state(rollout.machine(), now);
      boolean isTurn =
          state == RolloutStatus.State.RUNNING
              ? succession.isFirst(now)
              : succession.isTurn(rollout.outcomeSince(now), now);
      if (isTurn && !rollout.isRecorded(state)) {
        String target = rollout.machine().order().targetVersion();
        result.add(new RolloutStatus(state, target, rollout.position(), rollout.startedMillis()));
      }
    }
    return result;
  }

  private RolloutStatus.State state(RolloutStateMachine machine, long now) {
    RolloutOrder order = machine.order();
    return switch (machine.phase(now)) {
      case RUNNING -> RolloutStatus.State.RUNNING;
      // The other servers are stopped on completion.
      case MAY_COMPLETE ->
          hasServersInUse(order.service(), order.targetVersion())
              ? RolloutStatus.State.COMPLETED
              : RolloutStatus.State.RUNNING;
      case COMPLETED -> RolloutStatus.State.COMPLETED;
      case WITHDRAWN -> RolloutStatus.State.ROLLED_BACK;
    };
  }

  private void writeStatus(LogPosition end, Succession succession, long now) {
    Optional<RolloutStatus> first = unrecordedStatuses(succession, now).stream().findFirst();
    if (first.isEmpty()) {
      return;
    }
    RolloutStatus status = first.get();
    String service = rollout(status).map(TrackedRollout::service).orElseThrow();
    storeCallPending = true;
    store
        .put(STATUS_TOPIC, RolloutStatus.key(service), status.encode(), Optional.of(end))
        .whenComplete(
            (position, failure) -> {
              storeCallPending = false;
              EdgeLog.event("rollout_status")
                  .addKeyValue("service", service)
                  .addKeyValue("state", status.state())
                  .addKeyValue("written", failure == null)
                  .log();
              if (failure == null && position.isInEraOf(end)) {
                onWritten(status);
              } else {
                // The write may have succeeded all the same: the next read shows it.
                statusKnown = false;
              }
            });
  }

  private void onWritten(RolloutStatus status) {
    // A newer order may have replaced this one since the write began.
    rollout(status).ifPresent(r -> r.setRecorded(status.state()));
  }

  private Optional<TrackedRollout> rollout(RolloutStatus status) {
    return rollouts.values().stream().filter(r -> r.isAt(status.orderPosition())).findFirst();
  }
}
