package org.kumquatplank.core.rollout;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.dispatch.VersionRule;
import org.kumquatplank.core.membership.Succession;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.rollout.RolloutStateMachine.Phase;

/**
 * Instances that track a rollout with lost digests, while the store rejects the first of them and
 * others restart late in the rollout and know nothing.
 */
final class RolloutSimulation {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long TICK = 50 * MILLI;
  private static final long DURATION = 24 * SECOND;
  private static final int FAN_OUT = 6;
  private static final double DIGEST_LOSS = 0.2;

  private final Random random = new Random(11);
  private final List<Instance> instances = new ArrayList<>();
  private final List<Phase> recorded = new ArrayList<>();
  private final double failureRatio;
  private final boolean unequalTraffic;
  private int requests;
  private int exposed;
  private int storeReads;

  /**
   * Creates a simulation.
   *
   * @param failureRatio share of the requests that the new version fails
   * @param unequalTraffic whether a few instances get most of the requests
   */
  RolloutSimulation(double failureRatio, boolean unequalTraffic) {
    this.failureRatio = failureRatio;
    this.unequalTraffic = unequalTraffic;
  }

  /** One instance; a restart replaces what it knows. */
  private static final class Instance {
    private final String name;
    private final boolean rejectedByStore;
    private int starts;
    private long startedAt;
    private RolloutStateMachine machine;
    private VersionStats target;
    private VersionStats others;
    private Set<String> peers;
    private Optional<Long> outcomeSince;
    private boolean knowsRecord;

    Instance(int number, boolean rejectedByStore) {
      name = String.format(Locale.ROOT, "i%03d", number);
      this.rejectedByStore = rejectedByStore;
      start(0);
    }

    void start(long now) {
      starts++;
      startedAt = now;
      machine =
          RolloutStateMachine.create(
              new RolloutOrder(LogPosition.of(0, 7), "pool", "v2", 24_000), now);
      if (now > 0) {
        // The store names the start of the rollout.
        machine.extendElapsed(now, now);
      }
      target = VersionStats.NONE;
      others = VersionStats.NONE;
      peers = new HashSet<>();
      outcomeSince = Optional.empty();
      knowsRecord = false;
    }

    void addResult(boolean toTarget, boolean failed) {
      VersionStats result = failed ? VersionStats.of(0, 1, 0, 0) : VersionStats.of(1, 0, 50, 0);
      if (toTarget) {
        target = target.plus(result);
      } else {
        others = others.plus(result);
      }
      machine.updateStats("own", target, others);
    }

    void receive(Instance sender, long now) {
      peers.add(sender.name);
      machine.extendElapsed(sender.machine.elapsedMicros(now), now);
      machine.updateStats(sender.name + "/" + sender.starts, sender.target, sender.others);
      machine.catchUp(sender.machine.step(), now);
      if (sender.machine.phase(now) == Phase.WITHDRAWN) {
        machine.rollBack();
      }
      if (sender.knowsRecord) {
        knowsRecord = true;
        if (sender.machine.phase(now) == Phase.COMPLETED) {
          machine.markCompleted();
        }
      }
    }
  }

  /** Plays one rollout to its end. */
  void run(int count, int perSecond, int rejectedByStore, int restarted) {
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(i, i < rejectedByStore));
    }
    for (long now = TICK; now <= DURATION; now += TICK) {
      if (now == 17 * SECOND) {
        for (Instance instance : instances.subList(0, restarted)) {
          instance.start(now);
        }
      }
      for (int i = 0; i < perSecond * TICK / SECOND; i++) {
        sendRequest(now);
      }
      long digestInterval = count > 12 ? 500 * MILLI : 250 * MILLI;
      if (now % digestInterval == 0) {
        sendDigests(now);
      }
      if (now % (300 * MILLI) == 0) {
        for (Instance instance : instances) {
          record(instance, now);
        }
      }
    }
  }

  /** All requests belong to sessions. */
  private void sendRequest(long now) {
    double draw = random.nextDouble();
    Instance instance =
        instances.get((int) ((unequalTraffic ? draw * draw * draw : draw) * instances.size()));
    boolean toTarget =
        switch (instance.machine.rule(now)) {
          case VersionRule.Any any -> true;
          case VersionRule.Only only -> true;
          case VersionRule.Except except -> false;
          case VersionRule.Trial trial ->
              trial.includesSessions() && random.nextDouble() < trial.share();
        };
    requests++;
    exposed += toTarget ? 1 : 0;
    instance.addResult(toTarget, toTarget && random.nextDouble() < failureRatio);
  }

  private void sendDigests(long now) {
    for (Instance sender : instances) {
      for (int i = 0; i < FAN_OUT; i++) {
        Instance receiver = instances.get(random.nextInt(instances.size()));
        if (receiver != sender && random.nextDouble() >= DIGEST_LOSS) {
          receiver.receive(sender, now);
        }
      }
    }
  }

  private void record(Instance instance, long now) {
    Phase phase = instance.machine.phase(now);
    if (instance.knowsRecord || phase == Phase.RUNNING) {
      return;
    }
    if (instance.outcomeSince.isEmpty()) {
      instance.outcomeSince = Optional.of(now);
    }
    Succession succession = Succession.of(instance.name, instance.peers, instance.startedAt);
    if (!succession.isTurn(instance.outcomeSince.get(), now) || instance.rejectedByStore) {
      return;
    }
    storeReads++;
    if (recorded.isEmpty()) {
      recorded.add(phase);
    }
    instance.knowsRecord = true;
    if (recorded.get(0) == Phase.WITHDRAWN) {
      instance.machine.rollBack();
    } else {
      instance.machine.markCompleted();
    }
  }

  /** Returns the recorded outcome, if there is one. */
  List<Phase> recorded() {
    return recorded;
  }

  int requests() {
    return requests;
  }

  /** Returns the number of requests that the new version got. */
  int exposed() {
    return exposed;
  }

  /** Returns how often an instance read the store to record the outcome. */
  int storeReads() {
    return storeReads;
  }
}
