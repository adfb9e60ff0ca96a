package org.kumquatplank.core.bills;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;

/**
 * Writes pending bills to the log in batches.
 *
 * <p>The interval between appends grows with the number of live instances, so that all instances
 * together stay within the append rate that the log allots to bills. An append whose response was
 * lost is retried; readers count only the first bill of an id. Confined to one thread.
 */
public final class BillWriter {
  /** Name of the bills stream. */
  public static final String STREAM = "bills";

  /** Append rate of all instances together. */
  private static final int TOTAL_APPENDS_PER_SECOND = 60;

  private static final int MAX_BILLS_PER_APPEND = 500;
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private final EventLog log;
  private final PendingBills pending;
  private final IntSupplier liveInstances;
  private final Consumer<List<PendingBills.PendingBill>> onWritten;
  private final Clock clock;

  private BillWriter(
      EventLog log,
      PendingBills pending,
      IntSupplier liveInstances,
      Consumer<List<PendingBills.PendingBill>> onWritten,
      Clock clock) {
    this.log = log;
    this.pending = pending;
    this.liveInstances = liveInstances;
    this.onWritten = onWritten;
    this.clock = clock;
  }

  /**
   * Returns a writer.
   *
   * @param liveInstances number of instances that share the log's appends
   * @param onWritten is called with the bills of each successful append
   */
  public static BillWriter create(
      EventLog log,
      PendingBills pending,
      IntSupplier liveInstances,
      Consumer<List<PendingBills.PendingBill>> onWritten,
      Clock clock) {
    return new BillWriter(log, pending, liveInstances, onWritten, clock);
  }

  /**
   * Appends one batch of pending bills, if there are any.
   *
   * @return the time at which to call this method again
   */
  public Instant writeOnce() {
    List<PendingBills.PendingBill> batch = pending.unwritten(MAX_BILLS_PER_APPEND);
    if (!batch.isEmpty()) {
      List<Bill> bills = batch.stream().map(PendingBills.PendingBill::bill).toList();
      try {
        log.append(STREAM, BillCodec.toJson(bills), clock.instant().plus(APPEND_TIMEOUT));
      } catch (LogException e) {
        return clock.instant().plus(RETRY_DELAY);
      }
      pending.confirmWritten(batch);
      onWritten.accept(batch);
    }
    return clock.instant().plus(appendInterval());
  }

  private Duration appendInterval() {
    int instances = Math.max(1, liveInstances.getAsInt());
    return Duration.ofSeconds(1).multipliedBy(instances).dividedBy(TOTAL_APPENDS_PER_SECOND);
  }
}
