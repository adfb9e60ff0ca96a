package org.kumquatplank.core.bills;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Deduplicates the records of the bills stream: the first bill of each id counts. Not thread-safe.
 */
public final class BillReducer {
  private final Map<String, Bill> firstById = new LinkedHashMap<>();
  private long duplicates;

  private BillReducer() {}

  /** Returns an empty reducer. */
  public static BillReducer create() {
    return new BillReducer();
  }

  /** Applies one record of the bills stream. */
  public void apply(String record) {
    for (Bill bill : BillCodec.fromJson(record)) {
      if (firstById.putIfAbsent(bill.id(), bill) != null) {
        duplicates++;
      }
    }
  }

  /** Returns an unmodifiable view of the first bill of each id, in log order. */
  public Collection<Bill> bills() {
    return Collections.unmodifiableCollection(firstById.values());
  }

  /** Returns the number of bills that were skipped as duplicates. */
  public long duplicates() {
    return duplicates;
  }
}
