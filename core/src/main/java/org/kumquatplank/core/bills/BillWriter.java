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
 * Moves the bills of a book into the log, many to an append.
 *
 * <p>The pause between appends grows with the number of live instances, so that all of them
 * together stay within their share of the log's appends. An append whose answer was lost is
 * repeated: a reader counts the first bill of an id. Confined to one thread.
 */
public final class BillWriter {
  /** Name of the bills stream. */
  public static final String STREAM = "bills";

  private static final int APPENDS_PER_SECOND_OF_ALL = 60;
  private static final int MAX_BILLS_PER_APPEND = 500;
  private static final Duration APPEND_WAIT = Duration.ofSeconds(5);
  private static final Duration FAILURE_PAUSE = Duration.ofMillis(250);

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
   * @param onWritten hears of bills that the log has
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
   * Appends what waits, once.
   *
   * @return the time of the next append
   */
  public Instant writeOnce() {
    List<PendingBills.PendingBill> batch = pending.unwritten(MAX_BILLS_PER_APPEND);
    if (!batch.isEmpty()) {
      List<Bill> bills = batch.stream().map(PendingBills.PendingBill::bill).toList();
      try {
        log.append(STREAM, BillCodec.toJson(bills), clock.instant().plus(APPEND_WAIT));
      } catch (LogException e) {
        return clock.instant().plus(FAILURE_PAUSE);
      }
      pending.written(batch);
      onWritten.accept(batch);
    }
    return clock.instant().plus(pause());
  }

  private Duration pause() {
    int instances = Math.max(1, liveInstances.getAsInt());
    return Duration.ofSeconds(1).multipliedBy(instances).dividedBy(APPENDS_PER_SECOND_OF_ALL);
  }
}
