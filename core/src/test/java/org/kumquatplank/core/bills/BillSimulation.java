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
import org.kumquatplank.core.membership.Rendezvous;
import org.kumquatplank.core.time.FakeTime;
import org.kumquatplank.core.time.Seeds;

/** Instances that serve requests, keep each other's bills, and die, driven by one seed. */
final class BillSimulation {
  /** What replaces a part of the mechanism, to show that a check can fail. */
  enum Variant {
    REAL,
    /** The serving instance alone holds the bill until the log has it. */
    NO_KEEPER,
    /** An answered append is the only one that counts as written, and readers count them all. */
    READER_COUNTS_ALL
  }

  private final FakeTime time = new FakeTime();
  private final Random random;
  private final FakeLog log;
  private final Variant variant;
  private final Map<String, Instance> live = new HashMap<>();
  private final Set<String> mustBeBilled = new HashSet<>();
  private int names;

  BillSimulation(long seed, Variant variant) {
    random = new Random(seed);
    this.variant = variant;
    log = FakeLog.create(seed).withFaults(0.1, random.nextDouble() * 0.4, 0.1);
    for (int i = 0; i < 4; i++) {
      addInstance();
    }
  }

  private void addInstance() {
    Instance instance = new Instance("i" + names++);
    live.put(instance.name, instance);
  }

  /** One instance with its tracker, its pending bills and its writer. */
  private final class Instance implements BillTracker.BackupClient {
    private final String name;
    private final PendingBills pending = PendingBills.create();
    private final BillTracker tracker;
    private final BillWriter writer;

    Instance(String name) {
      this.name = name;
      tracker = BillTracker.create(name, this, pending, this::keepers, time);
      writer = BillWriter.create(log, pending, live::size, this::tellWritten, time);
    }

    private List<String> keepers(String id) {
      if (variant == Variant.NO_KEEPER) {
        return List.of();
      }
      List<String> ranked = new ArrayList<>(Rendezvous.rank(id, live.keySet()));
      ranked.remove(name);
      return ranked;
    }

    private void tellWritten(List<PendingBills.PendingBill> bills) {
      for (PendingBills.PendingBill kept : bills) {
        Instance origin = live.get(kept.origin());
        if (origin != null && random.nextInt(4) > 0) {
          origin.tracker.written(List.of(kept.bill().id()));
        }
      }
    }

    @Override
    public void open(String keeper, Bill bill) {
      Instance to = live.get(keeper);
      if (to != null) {
        to.pending.open(name, bill);
      }
    }

    @Override
    public void cancel(String keeper, String billId) {
      Instance to = live.get(keeper);
      if (to != null) {
        to.pending.cancel(name, billId);
      }
    }

    @Override
    public boolean settle(String keeper, Bill bill, Instant deadline) {
      Instance to = live.get(keeper);
      boolean cut = random.nextInt(8) == 0;
      if (to == null || cut) {
        return false;
      }
      to.pending.settle(name, bill);
      boolean receiptLost = random.nextInt(8) == 0;
      return !receiptLost;
    }
  }

  private static Bill bill(String id, Bill.Ending ending) {
    return new Bill(id, "hq", "tag", "small@1", 10, 5, 7, ending);
  }

  private Instance any() {
    List<String> all = live.keySet().stream().sorted().toList();
    return live.get(all.get(random.nextInt(all.size())));
  }

  private void step(int number) {
    time.advance(Duration.ofMillis(random.nextInt(3_000)));
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> serve(any(), "r" + number);
      case 3 -> any().writer.writeOnce();
      case 4 -> any().tracker.reclaimOverdue(live.keySet());
      case 5 -> log.setDown(random.nextBoolean());
      case 6 -> log.landAll();
      default -> kill(any());
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
    boolean heldTwice = origin.tracker.settle(bill(id, Bill.Ending.WHOLE));
    if (heldTwice || variant == Variant.NO_KEEPER) {
      mustBeBilled.add(id);
    } else {
      origin.writer.writeOnce();
    }
  }

  /** Replaces an instance; the others get the time to write what its bills left with them. */
  private void kill(Instance instance) {
    live.remove(instance.name);
    for (Instance other : live.values()) {
      other.pending.settleLost(live.keySet());
      other.tracker.reclaimOverdue(live.keySet());
    }
    addInstance();
    boolean down = random.nextBoolean();
    log.setDown(false);
    flush();
    log.setDown(down);
  }

  private void flush() {
    for (int round = 0; round < 40; round++) {
      live.values().forEach(i -> i.writer.writeOnce());
    }
  }

  private Optional<String> violation() {
    log.setDown(false);
    log.withFaults(0, 0, 0);
    log.landAll();
    time.advance(Duration.ofMinutes(1));
    live.values().forEach(i -> i.tracker.reclaimOverdue(live.keySet()));
    flush();
    BillReducer reducer = BillReducer.create();
    log.records(BillWriter.STREAM).forEach(reducer::fold);
    Set<String> counted = new HashSet<>();
    reducer.bills().forEach(b -> counted.add(b.id()));
    Set<String> missing = new HashSet<>(mustBeBilled);
    missing.removeAll(counted);
    if (!missing.isEmpty()) {
      return Optional.of("not billed: " + missing);
    }
    if (variant == Variant.READER_COUNTS_ALL && reducer.repeats() > 0) {
      return Optional.of("billed twice: " + reducer.repeats());
    }
    return Optional.empty();
  }

  static Optional<String> play(long seed, Variant variant) {
    BillSimulation simulation = new BillSimulation(seed, variant);
    for (int i = 0; i < 60; i++) {
      simulation.step(i);
    }
    return simulation.violation();
  }

  static long firstBadSeed(Variant variant, long seeds) {
    return Seeds.firstBad(seed -> play(seed, variant), seeds);
  }
}
