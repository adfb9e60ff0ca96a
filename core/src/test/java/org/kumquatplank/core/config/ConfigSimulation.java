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
import org.kumquatplank.core.config.ConfigReducer.ApplyResult;
import org.kumquatplank.core.log.FakeLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.time.SeedSearch;

/**
 * Simulation, determined by a seed, of instances that read one configuration stream while operators
 * publish changes concurrently.
 */
final class ConfigSimulation {
  private static final String STREAM = "config";

  /** The reducer of an instance: the real one, or a faulty variant. */
  interface Follower {
    ApplyResult apply(long offset, ConfigEntry entry);

    void adopt(Configuration configuration, long nextOffset);

    Configuration current();

    long nextOffset();

    boolean isComplete();
  }

  /** Creates followers. */
  interface Variant {
    Follower create();
  }

  /** One instance, with the unconfirmed changes that were published through it. */
  private static final class Instance {
    final Follower follower;
    final Set<String> pendingNonces = new HashSet<>();
    long highestVersion;

    Instance(Follower follower) {
      this.follower = follower;
    }
  }

  private final Random random;
  private final FakeLog log;
  private final Variant variant;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, Long> acceptedVersions = new HashMap<>();
  private final Map<Long, Configuration> configurationsByVersion = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
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
      case 7 -> log.applyDelayedAppends();
      case 8 -> replaceOrRetain(instance);
      default -> adoptFromPeer(instance, instances.get(random.nextInt(instances.size())));
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
    instance.pendingNonces.add(nonce);
    append(change);
  }

  private void append(ConfigEntry entry) {
    try {
      log.append(STREAM, ConfigCodec.toJson(entry), Instant.MAX);
    } catch (LogException e) {
      // Reading the stream shows whether the record was appended.
    }
  }

  private void read(Instance instance) {
    LogPage page = log.read(STREAM, instance.follower.nextOffset(), Instant.MIN);
    int maxRecords = 1 + random.nextInt(4);
    for (LogRecord record : page.records().stream().limit(maxRecords).toList()) {
      ConfigEntry entry = ConfigCodec.fromJson(record.text()).orElseThrow();
      ApplyResult result = instance.follower.apply(record.offset(), entry);
      if (entry instanceof ConfigEntry.Change change
          && result == ApplyResult.ACCEPTED
          && instance.pendingNonces.remove(change.nonce())) {
        acceptedVersions.put(change.nonce(), change.base() + 1);
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

  private void adoptFromPeer(Instance target, Instance source) {
    if (source.follower.isComplete()) {
      target.follower.adopt(source.follower.current(), source.follower.nextOffset());
      check(target);
    }
  }

  private void check(Instance instance) {
    Follower follower = instance.follower;
    if (!follower.isComplete()) {
      return;
    }
    Configuration current = follower.current();
    if (current.version() < instance.highestVersion) {
      violations.add(
          "an instance reverted from version "
              + instance.highestVersion
              + " to "
              + current.version());
    }
    instance.highestVersion = Math.max(instance.highestVersion, current.version());
    Configuration earlier = configurationsByVersion.putIfAbsent(current.version(), current);
    if (earlier != null && !earlier.equals(current)) {
      violations.add("two instances differ at version " + current.version());
    }
  }

  /** Runs the schedule of the seed and returns its first violation, or empty if there is none. */
  static Optional<String> runSchedule(long seed, Variant variant) {
    ConfigSimulation simulation = new ConfigSimulation(seed, variant);
    for (int i = 0; i < 80; i++) {
      simulation.step();
    }
    simulation.log.applyDelayedAppends();
    for (Instance instance : simulation.instances) {
      for (int i = 0; i < 100; i++) {
        simulation.read(instance);
      }
    }
    simulation.checkAccepted();
    return simulation.violations.stream().findFirst();
  }

  /** Checks that no two accepted changes share a version, since one of them would be lost. */
  private void checkAccepted() {
    Set<Long> versions = new HashSet<>();
    for (Map.Entry<String, Long> change : acceptedVersions.entrySet()) {
      if (!versions.add(change.getValue())) {
        violations.add("two changes were accepted as version " + change.getValue());
      }
    }
  }

  static long firstFailingSeed(Variant variant, long seeds) {
    return SeedSearch.firstFailing(seed -> runSchedule(seed, variant), seeds);
  }
}
