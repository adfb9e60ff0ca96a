package org.kumquatplank.core.bills;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reduces the log: a reader counts with it each bill once. Not thread-safe. */
public final class BillReducer {
  private final Map<String, Bill> first = new LinkedHashMap<>();
  private long repeats;

  private BillReducer() {}

  /** Returns an empty reducer. */
  public static BillReducer create() {
    return new BillReducer();
  }

  /** Takes in one record of the bills stream. */
  public void fold(String record) {
    for (Bill bill : BillCodec.fromJson(record)) {
      if (first.putIfAbsent(bill.id(), bill) != null) {
        repeats++;
      }
    }
  }

  /** Returns the bills that count, in the order of the log. */
  public Collection<Bill> bills() {
    return Collections.unmodifiableCollection(first.values());
  }

  /** Returns the number of bills that were left out as repeats. */
  public long repeats() {
    return repeats;
  }
}
