package org.kumquatplank.bench;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.bills.BillCodec;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.claims.ClaimCodec;
import org.kumquatplank.core.claims.ClaimEntry;
import org.kumquatplank.core.claims.ClaimKey;
import org.kumquatplank.core.claims.LogClaimStore;
import org.kumquatplank.core.claims.Outcome;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.ConfigReducer;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.config.WorkClass.WhenUnmet;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.RendezvousHashing;
import org.kumquatplank.core.quality.QualityTracker;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.PeerLoad;
import org.kumquatplank.core.routing.Router;
import org.kumquatplank.core.routing.RoutingRequest;
import org.kumquatplank.core.time.Sleeper;

/**
 * Measures how memory, CPU time and record sizes grow with the size of the system.
 *
 * <p>Each figure is printed as a line {@code metric size value unit}; docs/CAPACITY.md extrapolates
 * them to the planned deployment size. Not thread-safe.
 */
final class CapacityBenchmark {
  private static final int WARM_UP_ROUNDS = 2_000;
  private static final int ROUNDS = 20_000;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final String DUMMY_DIGEST = "0".repeat(64);
  private static final WorkClass TAG_CLASS =
      new WorkClass("tag", 0.8, 560, 60_000, 1_000_000, WhenUnmet.BEST);

  private final List<String> lines = new ArrayList<>();

  /** Runs all measurements and returns one line per figure. */
  List<String> run() {
    for (int engineCount : new int[] {10, 100, 700, 2_000, 6_100}) {
      measurePlacement(engineCount);
    }
    for (int peers : new int[] {6, 12, 24, 48}) {
      measureDigests(peers);
    }
    for (int claims : new int[] {1_000, 10_000, 100_000, 1_000_000}) {
      measureClaims(claims);
    }
    for (int bills : new int[] {1_000, 10_000, 100_000}) {
      measureBills(bills);
    }
    for (int accounts : new int[] {10, 100, 1_000, 5_000}) {
      measureConfiguration(accounts);
    }
    for (int instanceCount : new int[] {6, 48, 390}) {
      measureRendezvous(instanceCount);
    }
    return lines;
  }

  private void add(String metric, int size, double value, String unit) {
    lines.add(String.format(Locale.ROOT, "%-28s %9d %14.3f %s", metric, size, value, unit));
  }

  /** Returns the mean time of an action in microseconds, measured after a warm-up. */
  private static double microsPerRound(int rounds, Runnable action) {
    for (int i = 0; i < Math.min(WARM_UP_ROUNDS, rounds); i++) {
      action.run();
    }
    long start = System.nanoTime();
    for (int i = 0; i < rounds; i++) {
      action.run();
    }
    return (System.nanoTime() - start) / (double) rounds / NANOS_PER_MICRO;
  }

  /** Returns the used heap in megabytes after garbage collection. */
  private static double usedMegabytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / 1e6;
  }

  private static Configuration configurationOf(int accounts) {
    List<ClientAccount> clientAccounts = new ArrayList<>();
    for (int i = 0; i < accounts; i++) {
      clientAccounts.add(
          new ClientAccount(
              "account-" + i, DUMMY_DIGEST, Set.of("tag"), Set.of("*"), Set.of("press")));
    }
    List<ModelVersion> versions = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      versions.add(new ModelVersion("v" + i, 100_000, 400_000, Stage.LIVE));
    }
    return Configuration.of(1, List.of(TAG_CLASS), clientAccounts, versions, List.of());
  }

  private static InstanceList enginesOf(int engineCount) {
    List<ListedInstance> list = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      list.add(
          new ListedInstance(
              "engine-" + i,
              ListedInstance.Role.ENGINE,
              "",
              "127.0.0.1",
              1,
              0,
              "domain-" + i % 4,
              "region-" + i % 2,
              false,
              Set.of("v" + i % 9)));
    }
    return new InstanceList(list);
  }

  private static Router routerOf(int engineCount) {
    Router router = Router.create("self", "region-0", QualityTracker.create());
    router.setConfiguration(configurationOf(10));
    router.setInstanceList(enginesOf(engineCount));
    return router;
  }

  private void measurePlacement(int engineCount) {
    double before = usedMegabytes();
    Router router = routerOf(engineCount);
    LongSupplier requestNumbers = counter();
    double decision =
        microsPerRound(
            ROUNDS / 4,
            () -> {
              String id = "w" + requestNumbers.getAsLong();
              RoutingRequest request =
                  new RoutingRequest(id, "account-1", TAG_CLASS, 10, Optional.empty(), false, 0);
              for (Action action : router.submit(request, 0)) {
                router.recordEnd(action.request().id(), 10, true, 1);
              }
            });
    add("placement_decision", engineCount, decision, "us");
    add("placement_memory", engineCount, Math.max(0, usedMegabytes() - before), "MB");
    InstanceList list = enginesOf(engineCount);
    add("list_refresh", engineCount, microsPerRound(50, () -> router.setInstanceList(list)), "us");
  }

  private static LongSupplier counter() {
    long[] next = {0};
    return () -> next[0]++;
  }

  private void measureDigests(int peers) {
    Router router = routerOf(185);
    List<PeerLoad> loads = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      loads.add(new PeerLoad("engine-" + i, 1, 0));
    }
    double micros =
        microsPerRound(
            500,
            () -> {
              for (int i = 0; i < peers; i++) {
                router.setPeerLoads("peer-" + i, loads);
              }
            });
    add("digest_round", peers, micros, "us");
  }

  private void measureClaims(int count) {
    InMemoryLog log = new InMemoryLog();
    List<ClaimEntry> batch = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ClaimKey key = new ClaimKey("account-" + i % 100, "press/key-" + i);
      batch.add(new ClaimEntry.Claimed(key, DUMMY_DIGEST, "nonce-" + i, "entry-1.0123"));
      Outcome outcome =
          new Outcome.Answered(201, "application/json", "{\"booking\":\"" + i + "\"}");
      batch.add(new ClaimEntry.Settled(key, DUMMY_DIGEST, "nonce-" + i, outcome));
      if (batch.size() >= 200) {
        log.append("claims-0", ClaimCodec.toJson(batch), Instant.MAX);
        batch.clear();
      }
    }
    if (!batch.isEmpty()) {
      log.append("claims-0", ClaimCodec.toJson(batch), Instant.MAX);
    }
    double before = usedMegabytes();
    LogClaimStore store =
        LogClaimStore.create(log, 1, Runnable::run, Clock.systemUTC(), Sleeper.system());
    long start = System.nanoTime();
    store.find(new ClaimKey("a", "b"), Instant.now().plusSeconds(600));
    double millis = (System.nanoTime() - start) / 1e6;
    add("claim_index_replay", count, millis, "ms");
    add("claim_index_memory", count, Math.max(0, usedMegabytes() - before), "MB");
    add("claim_log_bytes", count, log.bytes() / (double) count, "B/claim");
    add("claim_keys", count, store.size(), "keys");
  }

  private void measureBills(int count) {
    double before = usedMegabytes();
    PendingBills pending = PendingBills.create();
    List<Bill> sample = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Bill bill = new Bill("id-" + i, "account-1", "tag", "v1", 100, 10, 7, Bill.Ending.WHOLE);
      pending.settle("entry-1.0123", bill);
      if (sample.size() < 500) {
        sample.add(bill);
      }
    }
    add("bill_book_memory", count, Math.max(0, usedMegabytes() - before), "MB");
    add("bill_kept", count, pending.backlog(), "bills");
    double bytes = BillCodec.toJson(sample).length() / (double) sample.size();
    add("bill_log_bytes", count, bytes, "B/bill");
    add("bill_batch_encode", count, microsPerRound(200, () -> BillCodec.toJson(sample)), "us/500");
  }

  private void measureConfiguration(int accounts) {
    Configuration configuration = configurationOf(accounts);
    String snapshot = ConfigCodec.toJson(new ConfigEntry.Snapshot(configuration, 1));
    add("config_snapshot_bytes", accounts, snapshot.length(), "B");
    ConfigEntry change =
        new ConfigEntry.Change(
            1,
            "nonce",
            "operator",
            List.of(new ConfigOp.Put(new ModelVersion("v1", 1, 2, Stage.WITHDRAWN))));
    add("config_change_bytes", accounts, ConfigCodec.toJson(change).length(), "B");
    double micros =
        microsPerRound(
            500,
            () -> {
              ConfigReducer reducer = ConfigReducer.create();
              reducer.adopt(configuration, 1);
              reducer.apply(1, change);
            });
    add("config_change_fold", accounts, micros, "us");
  }

  private void measureRendezvous(int instanceCount) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < instanceCount; i++) {
      names.add("entry-" + i);
    }
    add(
        "owner_choice",
        instanceCount,
        microsPerRound(2_000, () -> RendezvousHashing.rank("k", names)),
        "us");
  }

  /** An event log that keeps its records in memory; all streams share one sequence of offsets. */
  private static final class InMemoryLog implements EventLog {
    private final List<String> records = new ArrayList<>();

    @Override
    public long append(String stream, String record, Instant deadline) {
      records.add(record);
      return records.size() - 1L;
    }

    @Override
    public LogPage read(String stream, long from, Instant waitUntil) {
      int end = (int) Math.min(records.size(), from + 500);
      List<LogRecord> page = new ArrayList<>();
      for (int i = (int) from; i < end; i++) {
        page.add(new LogRecord(i, records.get(i)));
      }
      return new LogPage(0, end, records.size(), page);
    }

    long bytes() {
      return records.stream().mapToLong(String::length).sum();
    }
  }
}
