package org.kumquatplank.core.bills;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * Tracks the bills of the requests that this instance serves.
 *
 * <p>Each bill is held by this instance and by a backup instance in another failure domain until it
 * is in the log. The loss of one of the two loses no bill, even while the log is unavailable.
 * Thread-safe.
 */
public final class BillTracker {
  /** Time within which a backup instance must acknowledge a final bill. */
  private static final Duration ACK_TIMEOUT = Duration.ofMillis(500);

  /** Time within which a backup instance must confirm that a bill is in the log. */
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(20);

  private final String self;
  private final BackupClient backupClient;
  private final PendingBills pendingBills;
  private final Function<String, List<String>> backupsFor;
  private final Clock clock;
  private final ConcurrentHashMap<String, BackedUpBill> backedUpBills = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, String> backupsOfOpenBills = new ConcurrentHashMap<>();

  private BillTracker(
      String self,
      BackupClient backupClient,
      PendingBills pendingBills,
      Function<String, List<String>> backupsFor,
      Clock clock) {
    this.self = self;
    this.backupClient = backupClient;
    this.pendingBills = pendingBills;
    this.backupsFor = backupsFor;
    this.clock = clock;
  }

  /** Sends bills to the backup instance. */
  public interface BackupClient {
    /** Notifies the backup instance that a request was dispatched. Does not block. */
    void open(String backup, Bill bill);

    /** Notifies the backup instance that an opened request was not run. Does not block. */
    void cancel(String backup, String billId);

    /** Sends the final bill and returns whether the backup instance acknowledged it. */
    boolean settle(String backup, Bill bill, Instant deadline);
  }

  /** A bill that was sent to a backup instance; this instance reclaims it after a time-out. */
  private record BackedUpBill(Bill bill, String backup, Instant reclaimAt) {}

  /**
   * Returns a tracker.
   *
   * @param self identity of this process
   * @param backupsFor returns the backup instances for a bill id, preferred first; may be empty
   */
  public static BillTracker create(
      String self,
      BackupClient backupClient,
      PendingBills pendingBills,
      Function<String, List<String>> backupsFor,
      Clock clock) {
    return new BillTracker(self, backupClient, pendingBills, backupsFor, clock);
  }

  /** Records that the request of the bill is about to be dispatched. */
  public void open(Bill bill) {
    List<String> backups = backupsFor.apply(bill.id());
    if (!backups.isEmpty()) {
      backupsOfOpenBills.put(bill.id(), backups.get(0));
      backupClient.open(backups.get(0), bill);
    }
  }

  /** Removes an opened bill whose request was not run. */
  public void cancel(String billId) {
    String backup = backupsOfOpenBills.remove(billId);
    if (backup != null) {
      backupClient.cancel(backup, billId);
    }
  }

  /**
   * Accepts the final bill of a request.
   *
   * @return whether a backup instance holds the bill; if not, this instance writes it to the log
   */
  public boolean settle(Bill bill) {
    String firstBackup = backupsOfOpenBills.remove(bill.id());
    if (firstBackup != null && replicate(bill, firstBackup)) {
      return true;
    }
    for (String backup : backupsFor.apply(bill.id())) {
      if (!backup.equals(firstBackup) && replicate(bill, backup)) {
        return true;
      }
    }
    pendingBills.settle(self, bill);
    return false;
  }

  private boolean replicate(Bill bill, String backup) {
    BackedUpBill backedUp = new BackedUpBill(bill, backup, clock.instant().plus(WRITE_TIMEOUT));
    backedUpBills.put(bill.id(), backedUp);
    if (backupClient.settle(backup, bill, clock.instant().plus(ACK_TIMEOUT))) {
      return true;
    }
    backedUpBills.remove(bill.id(), backedUp);
    return false;
  }

  /** Removes the bills that are in the log. */
  public void confirmWritten(Collection<String> ids) {
    ids.forEach(backedUpBills::remove);
  }

  /**
   * Moves bills to the pending bills of this instance if their backup instance is not in {@code
   * live} or has not confirmed within {@code WRITE_TIMEOUT} that the bill is in the log.
   */
  public void reclaimOverdue(Collection<String> live) {
    Instant now = clock.instant();
    for (BackedUpBill backedUp : backedUpBills.values()) {
      if (!live.contains(backedUp.backup()) || now.isAfter(backedUp.reclaimAt())) {
        if (backedUpBills.remove(backedUp.bill().id(), backedUp)) {
          pendingBills.settle(self, backedUp.bill());
        }
      }
    }
  }

  /** Returns the number of bills held by this instance that may not be in the log yet. */
  public int heldCount() {
    return backedUpBills.size();
  }
}
