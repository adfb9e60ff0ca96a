package org.kumquatplank.core.bills;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * The bills of the requests that this instance serves.
 *
 * <p>Each bill is held here and by a keeper in another failure domain until the log has it, so the
 * loss of either loses no bill, also while the log is down. Thread-safe.
 */
public final class BillTracker {
  private static final Duration RECEIPT_WAIT = Duration.ofMillis(500);
  private static final Duration WRITTEN_WAIT = Duration.ofSeconds(20);

  private final String self;
  private final BackupClient link;
  private final PendingBills ownBook;
  private final Function<String, List<String>> keepersFor;
  private final Clock clock;
  private final ConcurrentHashMap<String, Copy> copies = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, String> opened = new ConcurrentHashMap<>();

  private BillTracker(
      String self,
      BackupClient link,
      PendingBills ownBook,
      Function<String, List<String>> keepersFor,
      Clock clock) {
    this.self = self;
    this.link = link;
    this.ownBook = ownBook;
    this.keepersFor = keepersFor;
    this.clock = clock;
  }

  /** Carries bills to the instance that keeps them. */
  public interface BackupClient {
    /** Tells the keeper that work was dispatched; does not wait. */
    void open(String keeper, Bill bill);

    /** Tells the keeper that opened work was not run; does not wait. */
    void cancel(String keeper, String billId);

    /** Hands the final bill over and returns whether the keeper has it. */
    boolean settle(String keeper, Bill bill, Instant deadline);
  }

  /** A bill held here, with the time after which another keeper is asked. */
  private record Copy(Bill bill, String keeper, Instant resendAt) {}

  /**
   * Returns a tracker.
   *
   * @param self identity of this process
   * @param keepersFor keepers for a bill id, best first; may be empty
   */
  public static BillTracker create(
      String self,
      BackupClient link,
      PendingBills ownBook,
      Function<String, List<String>> keepersFor,
      Clock clock) {
    return new BillTracker(self, link, ownBook, keepersFor, clock);
  }

  /** Notes that the work of the bill is about to be dispatched. */
  public void open(Bill bill) {
    List<String> keepers = keepersFor.apply(bill.id());
    if (!keepers.isEmpty()) {
      opened.put(bill.id(), keepers.get(0));
      link.open(keepers.get(0), bill);
    }
  }

  /** Drops an opened bill: its work was not run. */
  public void cancel(String billId) {
    String keeper = opened.remove(billId);
    if (keeper != null) {
      link.cancel(keeper, billId);
    }
  }

  /**
   * Takes the final bill.
   *
   * @return whether a second instance holds it; when not, this instance writes it itself
   */
  public boolean settle(Bill bill) {
    String first = opened.remove(bill.id());
    if (first != null && handOver(bill, first)) {
      return true;
    }
    for (String keeper : keepersFor.apply(bill.id())) {
      if (!keeper.equals(first) && handOver(bill, keeper)) {
        return true;
      }
    }
    ownBook.settle(self, bill);
    return false;
  }

  private boolean handOver(Bill bill, String keeper) {
    Copy copy = new Copy(bill, keeper, clock.instant().plus(WRITTEN_WAIT));
    copies.put(bill.id(), copy);
    if (link.settle(keeper, bill, clock.instant().plus(RECEIPT_WAIT))) {
      return true;
    }
    copies.remove(bill.id(), copy);
    return false;
  }

  /** Drops the copies of bills that the log has. */
  public void written(Collection<String> ids) {
    ids.forEach(copies::remove);
  }

  /** Writes the bills itself whose keeper is gone or has been silent for too long. */
  public void reclaimOverdue(Collection<String> live) {
    Instant now = clock.instant();
    for (Copy copy : copies.values()) {
      if (!live.contains(copy.keeper()) || now.isAfter(copy.resendAt())) {
        if (copies.remove(copy.bill().id(), copy)) {
          ownBook.settle(self, copy.bill());
        }
      }
    }
  }

  /** Returns the number of bills held here that the log may not have yet. */
  public int held() {
    return copies.size();
  }
}
