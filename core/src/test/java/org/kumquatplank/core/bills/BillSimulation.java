package org.kumquatplank.core.bills;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.kumquatplank.core.log.FakeLog;
import org.kumquatplank.core.membership.RendezvousHashing;
import org.kumquatplank.core.time.FakeTime;
import org.kumquatplank.core.time.SeedSearch;

/**
 * Simulation, determined by a seed, of instances that serve requests, hold backups of each other's
 * bills, and crash.
 */
final class BillSimulation {
  /** The implementation, or a faulty variant of it, to show that the checks detect the fault. */
  enum Variant {
    REAL,
    /** Only the serving instance holds the bill until it is in the log; there is no backup. */
    NO_KEEPER,
    /** Readers also count the duplicate bills that retried appends leave in the log. */
    READER_COUNTS_ALL
  }

  private final FakeTime time = new FakeTime();
  private final Random random;
  private final FakeLog log;
  private final Variant variant;
  private final Map<String, Instance> liveInstances = new HashMap<>();
  private final Set<String> mustBeBilled = new HashSet<>();
  private int nextId;

  BillSimulation(long seed, Variant variant) {
    random = new Random(seed);
    this.variant = variant;
    log = FakeLog.create(seed).withFaults(0.1, random.nextDouble() * 0.4, 0.1);
    for (int i = 0; i < 4; i++) {
      addInstance();
    }
  }

  private void addInstance() {
    Instance instance = new Instance("i" + nextId++);
    liveInstances.put(instance.name, instance);
  }

  /** One instance with its tracker, its pending bills and its writer. */
  private final class Instance implements BillTracker.BackupClient {
    private final String name;
    private final PendingBills pending = PendingBills.create();
    private final BillTracker tracker;
    private final BillWriter writer;

    Instance(String name) {
      this.name = name;
      tracker = BillTracker.create(name, this, pending, this::backups, time);
      writer = BillWriter.create(log, pending, liveInstances::size, this::notifyWritten, time);
    }

    private List<String> backups(String id) {
      if (variant == Variant.NO_KEEPER) {
        return List.of();
      }
      List<String> ranked = new ArrayList<>(RendezvousHashing.rank(id, liveInstances.keySet()));
      ranked.remove(name);
      return ranked;
    }

    private void notifyWritten(List<PendingBills.PendingBill> bills) {
      for (PendingBills.PendingBill pendingBill : bills) {
        Instance origin = liveInstances.get(pendingBill.origin());
        if (origin != null && random.nextInt(4) > 0) {
          origin.tracker.confirmWritten(List.of(pendingBill.bill().id()));
        }
      }
    }

    @Override
    public void open(String backup, Bill bill) {
      Instance target = liveInstances.get(backup);
      if (target != null) {
        target.pending.open(name, bill);
      }
    }

    @Override
    public void cancel(String backup, String billId) {
      Instance target = liveInstances.get(backup);
      if (target != null) {
        target.pending.cancel(name, billId);
      }
    }

    @Override
    public boolean settle(String backup, Bill bill, Instant deadline) {
      Instance target = liveInstances.get(backup);
      boolean messageLost = random.nextInt(8) == 0;
      if (target == null || messageLost) {
        return false;
      }
      target.pending.settle(name, bill);
      boolean ackLost = random.nextInt(8) == 0;
      return !ackLost;
    }
  }

  private static Bill bill(String id, Bill.Ending ending) {
    return new Bill(id, "hq", "tag", "small@1", 10, 5, 7, ending);
  }

  private Instance randomInstance() {
    List<String> all = liveInstances.keySet().stream().sorted().toList();
    return liveInstances.get(all.get(random.nextInt(all.size())));
  }

  private void step(int number) {
    time.advance(Duration.ofMillis(random.nextInt(3_000)));
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> serve(randomInstance(), "r" + number);
      case 3 -> randomInstance().writer.writeOnce();
      case 4 -> randomInstance().tracker.reclaimOverdue(liveInstances.keySet());
      case 5 -> log.setDown(random.nextBoolean());
      case 6 -> log.applyDelayedAppends();
      default -> kill(randomInstance());
    }
  }

  private void serve(Instance origin, String id) {
    origin.tracker.open(bill(id, Bill.Ending.CUT_SHORT));
    if (random.nextInt(10) == 0) {
      if (variant == Variant.REAL) {
        mustBeBilled.add(id);
      }
      kill(origin);
      return;
    }
    boolean backedUp = origin.tracker.settle(bill(id, Bill.Ending.WHOLE));
    if (backedUp || variant == Variant.NO_KEEPER) {
      mustBeBilled.add(id);
    } else {
      origin.writer.writeOnce();
    }
  }

  /** Replaces an instance; the other instances first write the bills that they hold for it. */
  private void kill(Instance instance) {
    liveInstances.remove(instance.name);
    for (Instance other : liveInstances.values()) {
      other.pending.settleLost(liveInstances.keySet());
      other.tracker.reclaimOverdue(liveInstances.keySet());
    }
    addInstance();
    boolean logDown = random.nextBoolean();
    log.setDown(false);
    flush();
    log.setDown(logDown);
  }

  private void flush() {
    for (int round = 0; round < 40; round++) {
      liveInstances.values().forEach(i -> i.writer.writeOnce());
    }
  }

  private Optional<String> violation() {
    log.setDown(false);
    log.withFaults(0, 0, 0);
    log.applyDelayedAppends();
    time.advance(Duration.ofMinutes(1));
    liveInstances.values().forEach(i -> i.tracker.reclaimOverdue(liveInstances.keySet()));
    flush();
    BillReducer reducer = BillReducer.create();
    log.records(BillWriter.STREAM).forEach(reducer::apply);
    Set<String> counted = new HashSet<>();
    reducer.bills().forEach(b -> counted.add(b.id()));
    Set<String> missing = new HashSet<>(mustBeBilled);
    missing.removeAll(counted);
    if (!missing.isEmpty()) {
      return Optional.of("not billed: " + missing);
    }
    if (variant == Variant.READER_COUNTS_ALL && reducer.duplicates() > 0) {
      return Optional.of("billed twice: " + reducer.duplicates());
    }
    return Optional.empty();
  }

  static Optional<String> runSchedule(long seed, Variant variant) {
    BillSimulation simulation = new BillSimulation(seed, variant);
    for (int i = 0; i < 60; i++) {
      simulation.step(i);
    }
    return simulation.violation();
  }

  static long firstFailingSeed(Variant variant, long seeds) {
    return SeedSearch.firstFailing(seed -> runSchedule(seed, variant), seeds);
  }
}
