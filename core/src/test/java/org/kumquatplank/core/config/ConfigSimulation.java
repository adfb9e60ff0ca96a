package org.kumquatplank.core.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.kumquatplank.core.config.ConfigReducer.Verdict;
import org.kumquatplank.core.log.FakeLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.time.Seeds;

/** Instances that fold one configuration stream while operators race, driven by one seed. */
final class ConfigSimulation {
  private static final String STREAM = "config";

  /** How an instance takes in what it reads; the real fold, or a naive one. */
  interface Follower {
    Verdict fold(long offset, ConfigEntry entry);

    void adopt(Configuration configuration, long nextOffset);

    Configuration current();

    long nextOffset();

    boolean isComplete();
  }

  /** Makes followers. */
  interface Variant {
    Follower create();
  }

  /** One instance with what its operators were told. */
  private static final class Instance {
    final Follower follower;
    final Set<String> awaited = new HashSet<>();
    long highest;

    Instance(Follower follower) {
      this.follower = follower;
    }
  }

  private final Random random;
  private final FakeLog log;
  private final Variant variant;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, Long> accepted = new HashMap<>();
  private final Map<Long, Configuration> byVersion = new HashMap<>();
  private final List<String> faults = new ArrayList<>();
  private int nonces;

  ConfigSimulation(long seed, Variant variant) {
    this.variant = variant;
    random = new Random(seed);
    log =
        FakeLog.create(seed).withFaults(0.1, random.nextDouble() * 0.3, random.nextDouble() * 0.2);
    for (int i = 0; i < 3; i++) {
      instances.add(new Instance(variant.create()));
    }
  }

  private void step() {
    Instance instance = instances.get(random.nextInt(instances.size()));
    switch (random.nextInt(10)) {
      case 0, 1, 2 -> publish(instance);
      case 3, 4, 5 -> read(instance);
      case 6 -> snapshot(instance);
      case 7 -> log.landAll();
      case 8 -> replaceOrRetain(instance);
      default -> pull(instance, instances.get(random.nextInt(instances.size())));
    }
  }

  private void publish(Instance instance) {
    if (!instance.follower.isComplete()) {
      return;
    }
    String nonce = "n" + nonces++;
    ModelVersion version =
        new ModelVersion("v" + random.nextInt(3), nonces, 0, ModelVersion.Stage.LIVE);
    ConfigEntry change =
        new ConfigEntry.Change(
            instance.follower.current().version(),
            nonce,
            "operator",
            List.of(new ConfigOp.Put(version)));
    instance.awaited.add(nonce);
    append(change);
  }

  private void append(ConfigEntry entry) {
    try {
      log.append(STREAM, ConfigCodec.toJson(entry), Instant.MAX);
    } catch (LogException e) {
      // The fate of the record is seen by reading.
    }
  }

  private void read(Instance instance) {
    LogPage page = log.read(STREAM, instance.follower.nextOffset(), Instant.MIN);
    int most = 1 + random.nextInt(4);
    for (LogRecord record : page.records().stream().limit(most).toList()) {
      ConfigEntry entry = ConfigCodec.fromJson(record.text()).orElseThrow();
      Verdict verdict = instance.follower.fold(record.offset(), entry);
      if (entry instanceof ConfigEntry.Change change
          && verdict == Verdict.ACCEPTED
          && instance.awaited.remove(change.nonce())) {
        accepted.put(change.nonce(), change.base() + 1);
      }
    }
    check(instance);
  }

  private void snapshot(Instance instance) {
    if (instance.follower.isComplete()) {
      append(new ConfigEntry.Snapshot(instance.follower.current(), instance.follower.nextOffset()));
    }
  }

  private void replaceOrRetain(Instance instance) {
    if (random.nextBoolean()) {
      instances.set(instances.indexOf(instance), new Instance(variant.create()));
    } else if (instance.follower.isComplete()) {
      log.retain(STREAM, 3 + random.nextInt(10));
    }
  }

  private void pull(Instance to, Instance from) {
    if (from.follower.isComplete()) {
      to.follower.adopt(from.follower.current(), from.follower.nextOffset());
      check(to);
    }
  }

  private void check(Instance instance) {
    Follower follower = instance.follower;
    if (!follower.isComplete()) {
      return;
    }
    Configuration current = follower.current();
    if (current.version() < instance.highest) {
      faults.add("an instance went back from " + instance.highest + " to " + current.version());
    }
    instance.highest = Math.max(instance.highest, current.version());
    Configuration known = byVersion.putIfAbsent(current.version(), current);
    if (known != null && !known.equals(current)) {
      faults.add("two instances differ at version " + current.version());
    }
  }

  /** Plays a schedule and returns what went wrong, or nothing. */
  static Optional<String> play(long seed, Variant variant) {
    ConfigSimulation simulation = new ConfigSimulation(seed, variant);
    for (int i = 0; i < 80; i++) {
      simulation.step();
    }
    simulation.log.landAll();
    for (Instance instance : simulation.instances) {
      for (int i = 0; i < 100; i++) {
        simulation.read(instance);
      }
    }
    simulation.checkAccepted();
    return simulation.faults.stream().findFirst();
  }

  /** Two accepted changes never share a version: one of them would be lost. */
  private void checkAccepted() {
    Set<Long> versions = new HashSet<>();
    for (Map.Entry<String, Long> change : accepted.entrySet()) {
      if (!versions.add(change.getValue())) {
        faults.add("two changes were accepted as version " + change.getValue());
      }
    }
  }

  static long firstBadSeed(Variant variant, long seeds) {
    return Seeds.firstBad(seed -> play(seed, variant), seeds);
  }
}
