package org.kumquatplank.core.bills;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The bills that one instance holds, for itself and as a backup of other instances, until they are
 * in the log. Thread-safe.
 */
public final class PendingBills {
  private final Map<String, PendingBill> unwritten = new LinkedHashMap<>();
  private final Map<String, Map<String, Bill>> openByOrigin = new HashMap<>();

  private PendingBills() {}

  /** Returns an object that holds no bills. */
  public static PendingBills create() {
    return new PendingBills();
  }

  /**
   * A final bill that is not yet in the log.
   *
   * @param origin identity of the process that served the request
   * @param bill the final bill
   */
  public record PendingBill(String origin, Bill bill) {}

  /** Records that the origin dispatched the request of this bill. */
  public synchronized void open(String origin, Bill bill) {
    openByOrigin.computeIfAbsent(origin, o -> new HashMap<>()).put(bill.id(), bill);
  }

  /** Accepts the final bill of a request. */
  public synchronized void settle(String origin, Bill bill) {
    removeOpen(origin, bill.id());
    unwritten.putIfAbsent(bill.id(), new PendingBill(origin, bill));
  }

  /** Removes an opened bill whose request was not run. */
  public synchronized void cancel(String origin, String id) {
    removeOpen(origin, id);
  }

  private void removeOpen(String origin, String id) {
    Map<String, Bill> open = openByOrigin.get(origin);
    if (open != null) {
      open.remove(id);
      if (open.isEmpty()) {
        openByOrigin.remove(origin);
      }
    }
  }

  /** Settles the open bills of processes that are not in {@code live}, as instance lost. */
  public synchronized void settleLost(Set<String> live) {
    Set<String> lost = new HashSet<>(openByOrigin.keySet());
    lost.removeAll(live);
    for (String origin : lost) {
      for (Bill bill : openByOrigin.remove(origin).values()) {
        unwritten.putIfAbsent(bill.id(), new PendingBill(origin, bill.asInstanceLost()));
      }
    }
  }

  /** Returns the oldest bills that are not yet in the log, at most {@code limit}. */
  public synchronized List<PendingBill> unwritten(int limit) {
    return unwritten.values().stream().limit(limit).toList();
  }

  /** Removes bills that are in the log. */
  public synchronized void confirmWritten(List<PendingBill> bills) {
    for (PendingBill pendingBill : bills) {
      unwritten.remove(pendingBill.bill().id(), pendingBill);
    }
  }

  /** Returns the number of final bills that are not yet in the log. */
  public synchronized int backlog() {
    return unwritten.size();
  }

  /** Returns the number of bills that are opened but not settled. */
  public synchronized int openCount() {
    return openByOrigin.values().stream().mapToInt(Map::size).sum();
  }
}
