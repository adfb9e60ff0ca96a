package org.kumquatplank.daemon;

import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.ListedInstance.Role;

/** The state of one instance, "a", with a clock that the test sets. */
final class InstanceFixture implements AutoCloseable {
  static final String SELF = "a";

  /** Time by which every confirmation has expired, nanoseconds. */
  static final long STALE_NANOS = 60_000_000_000L;

  final AtomicLong nanos = new AtomicLong();
  final Freshness freshness = Freshness.create(nanos::get);
  final ControlThread controlThread = new ControlThread();
  final ControlState state = new ControlState(SELF, "region", freshness, MicroClock.system());
  final DispatchGate gate = new DispatchGate(state::snapshot, freshness);
  final RequestLog requestLog = new RequestLog(new MetricRegistry());

  /** Accepts bills and sends none to a backup instance. */
  final BillTracker billTracker =
      BillTracker.create(
          SELF, new NoBackups(), PendingBills.create(), id -> List.of(), Clock.systemUTC());

  /** Rejects every bill: no peer is connected. */
  private static final class NoBackups implements BillTracker.BackupClient {
    @Override
    public void open(String backup, Bill bill) {}

    @Override
    public void cancel(String backup, String billId) {}

    @Override
    public boolean settle(String backup, Bill bill, java.time.Instant deadline) {
      return false;
    }
  }

  /** Returns the text of a change; its nonce is "nonce-" and the base version. */
  static String change(long base, ConfigOp... ops) {
    return ConfigCodec.toJson(
        new ConfigEntry.Change(base, "nonce-" + base, "author", List.of(ops)));
  }

  static ListedInstance listed(String id, Role role, int port, Set<String> versions) {
    String service = role == Role.SERVICE ? "press" : "";
    return new ListedInstance(
        id, role, service, "127.0.0.1", port, 0, "domain", "region", false, versions);
  }

  void applyPage(LogPage page) {
    controlThread.call(
        () -> {
          state.applyPage(page);
          return true;
        });
  }

  /** Applies one record that ends the configuration stream. */
  void applyRecord(long offset, String text) {
    applyPage(new LogPage(0, offset + 1, offset + 1, List.of(new LogRecord(offset, text))));
  }

  void setInstances(ListedInstance... instances) {
    controlThread.call(
        () -> {
          state.setInstances(new InstanceList(List.of(instances)));
          return true;
        });
  }

  @Override
  public void close() {
    controlThread.close();
  }
}
