package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.membership.Succession;
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
  private final Map<String, RolloutStateMachine> machines = new HashMap<>();
  private final Map<Long, Map<VersionCounts.Key, VersionStats>> baselines = new HashMap<>();
  private final Map<String, Set<String>> knownVersions = new HashMap<>();
  private final Map<Long, RolloutStatus.State> recordedStates = new HashMap<>();
  private final Map<Long, Long> startedMillis = new HashMap<>();
  private final Map<Long, Long> outcomeSince = new HashMap<>();
  private final Map<Long, Progress> loggedProgress = new HashMap<>();
  private Map<VersionCounts.Key, VersionStats> evidence = Map.of();
  private List<BackendServer> servers = List.of();
  private Set<String> evacuated = Set.of();
  private boolean statusKnown = true;
  private boolean storeCallPending;
  private long nextSyncAt;

  /** Phase and steps of a roll-out, as last logged. */
  private record Progress(RolloutStateMachine.Phase phase, int step) {}

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
    RolloutStateMachine known = machines.get(order.service());
    if (known != null && known.order().offset() >= order.offset()) {
      return;
    }
    EdgeLog.event("rollout_ordered")
        .addKeyValue("service", order.service())
        .addKeyValue("target", order.targetVersion())
        .addKeyValue("order", order.offset())
        .log();
    machines.put(order.service(), RolloutStateMachine.create(order, now));
    baselines.put(order.offset(), evidence);
    startedMillis.put(order.offset(), System.currentTimeMillis());
    statusKnown &= isNew;
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
    for (RolloutStateMachine machine : machines.values()) {
      machine.updateStats(OWN_SOURCE, ownEvidence(machine, true), ownEvidence(machine, false));
    }
  }

  private VersionStats ownEvidence(RolloutStateMachine machine, boolean target) {
    VersionStats sum = VersionStats.NONE;
    Map<VersionCounts.Key, VersionStats> start =
        baselines.getOrDefault(machine.order().offset(), Map.of());
    for (Map.Entry<VersionCounts.Key, VersionStats> entry : evidence.entrySet()) {
      VersionCounts.Key key = entry.getKey();
      boolean same = key.service().equals(machine.order().service());
      if (same && key.version().equals(machine.order().targetVersion()) == target) {
        VersionStats old = start.getOrDefault(key, VersionStats.NONE);
        sum = sum.plus(entry.getValue().since(old));
      }
    }
    return sum;
  }

  void addTo(EdgeDigest.Builder digest, long now) {
    for (RolloutStateMachine machine : machines.values()) {
      RolloutStateMachine.Phase phase = machine.phase(now);
      boolean completed = phase == RolloutStateMachine.Phase.COMPLETED;
      if (completed && now > outcomeSince(machine, now) + COMPLETION_DIGEST_MICROS) {
        continue;
      }
      digest.addRollouts(
          RolloutDigest.newBuilder()
              .setService(machine.order().service())
              .setOrder(machine.order().offset())
              .setElapsedMillis(Math.max(0, machine.elapsedMicros(now) / 1_000))
              .setWithdrawn(phase == RolloutStateMachine.Phase.WITHDRAWN)
              .setStep(machine.step())
              .setRecorded(hasRecordedOutcome(machine))
              .setTarget(encode(ownEvidence(machine, true)))
              .setRest(encode(ownEvidence(machine, false))));
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
    for (RolloutDigest rollout : digest.getRolloutsList()) {
      RolloutStateMachine machine = machines.get(rollout.getService());
      if (machine == null || machine.order().offset() != rollout.getOrder()) {
        continue;
      }
      machine.extendElapsed(rollout.getElapsedMillis() * 1_000, now);
      // A restarted instance counts from zero under a new source; its earlier evidence is kept.
      String source = digest.getInstance() + "/" + digest.getStartedMillis();
      machine.updateStats(source, decode(rollout.getTarget()), decode(rollout.getRest()));
      machine.catchUp(rollout.getStep(), now);
      if (rollout.getWithdrawn()) {
        machine.rollBack();
      }
      if (rollout.getRecorded()) {
        setRecorded(
            machine,
            rollout.getWithdrawn()
                ? RolloutStatus.State.ROLLED_BACK
                : RolloutStatus.State.COMPLETED);
      }
    }
  }

  Map<String, VersionRule> rules(long now) {
    Map<String, VersionRule> rules = new HashMap<>();
    for (BackendServer server : servers) {
      Set<String> known = knownVersions.getOrDefault(server.service(), Set.of());
      if (!known.contains(server.softwareVersion()) && !machines.containsKey(server.service())) {
        // A new version whose roll-out order has not been read yet must not receive requests.
        rules.put(server.service(), new VersionRule.Except(server.softwareVersion()));
      }
    }
    machines.forEach((service, machine) -> rules.put(service, rule(service, machine, now)));
    machines.values().forEach(machine -> logChange(machine, now));
    return rules;
  }

  private void logChange(RolloutStateMachine machine, long now) {
    Progress progress = new Progress(machine.phase(now), machine.step());
    if (!progress.equals(loggedProgress.put(machine.order().offset(), progress))) {
      EdgeLog.event("rollout_progress")
          .addKeyValue("service", machine.order().service())
          .addKeyValue("order", machine.order().offset())
          .addKeyValue("elapsed_ms", machine.elapsedMicros(now) / 1_000)
          .addKeyValue("phase", progress.phase())
          .addKeyValue("step", progress.step())
          .addKeyValue("target", machine.targetStats())
          .addKeyValue("others", machine.otherStats())
          .log();
    }
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
    if (machines.isEmpty() || storeCallPending || now < nextSyncAt) {
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
                writeStatus(page.nextOffset(), succession, Clock.micros());
              }
            });
  }

  private void readStatus(List<StoreRecord> records, long now) {
    Map<String, StoreRecord> byKey = StoreFollower.byKey(records);
    for (RolloutStateMachine machine : machines.values()) {
      StoreRecord record = byKey.get(RolloutStatus.key(machine.order().service()));
      if (record != null && record.value().isPresent()) {
        StoreFollower.applyOrLog(
            record, r -> adopt(machine, RolloutStatus.decode(r.value().get()), now));
      }
    }
    statusKnown = true;
  }

  private void adopt(RolloutStateMachine machine, RolloutStatus status, long now) {
    if (status.orderOffset() != machine.order().offset()) {
      return;
    }
    startedMillis.put(status.orderOffset(), status.startedMillis());
    setRecorded(machine, status.state());
    if (status.state() == RolloutStatus.State.RUNNING) {
      machine.extendElapsed(
          1_000 * Math.max(0, System.currentTimeMillis() - status.startedMillis()), now);
    }
  }

  /** Takes over the state that the store has, also where the evidence here says otherwise. */
  private void setRecorded(RolloutStateMachine machine, RolloutStatus.State state) {
    recordedStates.put(machine.order().offset(), state);
    switch (state) {
      case RUNNING -> {}
      case COMPLETED -> machine.markCompleted();
      case ROLLED_BACK -> machine.rollBack();
    }
  }

  private boolean hasRecordedOutcome(RolloutStateMachine machine) {
    RolloutStatus.State recorded = recordedStates.get(machine.order().offset());
    return recorded != null && recorded != RolloutStatus.State.RUNNING;
  }

  /** Returns since when this instance has known the outcome, microseconds. */
  private long outcomeSince(RolloutStateMachine machine, long now) {
    return outcomeSince.computeIfAbsent(machine.order().offset(), offset -> now);
  }

  private List<RolloutStatus> unrecordedStatuses(Succession succession, long now) {
    List<RolloutStatus> result = new ArrayList<>();
    for (RolloutStateMachine machine : machines.values()) {
      if (hasRecordedOutcome(machine)) {
        continue;
      }
      long number = machine.order().offset();
      RolloutStatus.State state = state(machine, now);
      boolean isTurn =
          state == RolloutStatus.State.RUNNING
              ? succession.isFirst(now)
              : succession.isTurn(outcomeSince(machine, now), now);
      if (isTurn && recordedStates.get(number) != state) {
        result.add(RolloutStatus.of(machine.order(), state, startedMillis.get(number)));
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

  private void writeStatus(long end, Succession succession, long now) {
    Optional<RolloutStatus> first = unrecordedStatuses(succession, now).stream().findFirst();
    if (first.isEmpty()) {
      return;
    }
    RolloutStatus status = first.get();
    String service = machine(status).map(m -> m.order().service()).orElseThrow();
    storeCallPending = true;
    store
        .put(STATUS_TOPIC, RolloutStatus.key(service), status.encode(), OptionalLong.of(end))
        .whenComplete(
            (offset, failure) -> {
              storeCallPending = false;
              EdgeLog.event("rollout_status")
                  .addKeyValue("service", service)
                  .addKeyValue("state", status.state())
                  .addKeyValue("written", failure == null)
                  .log();
              if (failure == null) {
                onWritten(status);
              } else {
                // The write may have succeeded all the same: the next read shows it.
                statusKnown = false;
              }
            });
  }

  private void onWritten(RolloutStatus status) {
    // A newer order may have replaced this one since the write began.
    machine(status).ifPresent(m -> setRecorded(m, status.state()));
  }

  private Optional<RolloutStateMachine> machine(RolloutStatus status) {
    return machines.values().stream()
        .filter(m -> m.order().offset() == status.orderOffset())
        .findFirst();
  }
}
