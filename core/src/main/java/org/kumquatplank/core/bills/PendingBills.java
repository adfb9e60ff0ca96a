package org.kumquatplank.core.bills;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The bills that one instance keeps for others and for itself until the log has them.
 *
 * <p>Thread-safe.
 */
public final class PendingBills {
  private final Map<String, PendingBill> unwritten = new LinkedHashMap<>();
  private final Map<String, Map<String, Bill>> openByOrigin = new HashMap<>();

  private PendingBills() {}

  /** Returns an object without bills. */
  public static PendingBills create() {
    return new PendingBills();
  }

  /**
   * A bill that waits for the log.
   *
   * @param origin identity of the process that served the request
   * @param bill the bill
   */
  public record PendingBill(String origin, Bill bill) {}

  /** Notes that the origin has dispatched the work of this bill. */
  public synchronized void open(String origin, Bill bill) {
    openByOrigin.computeIfAbsent(origin, o -> new HashMap<>()).put(bill.id(), bill);
  }

  /** Takes the final bill of a request. */
  public synchronized void settle(String origin, Bill bill) {
    forgetOpen(origin, bill.id());
    unwritten.putIfAbsent(bill.id(), new PendingBill(origin, bill));
  }

  /** Drops an opened bill whose work was not run. */
  public synchronized void cancel(String origin, String id) {
    forgetOpen(origin, id);
  }

  private void forgetOpen(String origin, String id) {
    Map<String, Bill> open = openByOrigin.get(origin);
    if (open != null) {
      open.remove(id);
      if (open.isEmpty()) {
        openByOrigin.remove(origin);
      }
    }
  }

  /** Settles the open bills of processes that are no longer among the live ones. */
  public synchronized void settleLost(Set<String> live) {
    Set<String> lost = new HashSet<>(openByOrigin.keySet());
    lost.removeAll(live);
    for (String origin : lost) {
      for (Bill bill : openByOrigin.remove(origin).values()) {
        unwritten.putIfAbsent(bill.id(), new PendingBill(origin, bill.instanceLost()));
      }
    }
  }

  /** Returns the oldest bills that wait for the log. */
  public synchronized List<PendingBill> unwritten(int most) {
    return unwritten.values().stream().limit(most).toList();
  }

  /** Drops bills that the log has. */
  public synchronized void written(List<PendingBill> bills) {
    for (PendingBill kept : bills) {
      unwritten.remove(kept.bill().id(), kept);
    }
  }

  /** Returns the number of bills that wait for the log. */
  public synchronized int backlog() {
    return unwritten.size();
  }

  /** Returns the number of bills opened and not settled. */
  public synchronized int openCount() {
    return openByOrigin.values().stream().mapToInt(Map::size).sum();
  }
}
