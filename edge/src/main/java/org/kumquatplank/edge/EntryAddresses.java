package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the instance addresses for a caller: the nearest ones, and more than one if its region
 * has as many.
 *
 * <p>Answers callers whose requests are bound to regions: an instance of another region is named
 * only when none of the caller's own region is ready, as the directory does not know the account
 * and so which other regions the request may enter.
 *
 * <p>Not thread-safe.
 */
final class EntryAddresses {
  /** With a single address a caller has no alternative if that instance fails. */
  private static final int MIN_ADDRESSES = 2;

  private static final int MAX_ADDRESSES = 64;

  private List<Instance> instances = List.of();

  /** An instance that accepts requests. */
  record Instance(String address, String zone, String region) {}

  void set(List<Instance> ready) {
    instances = List.copyOf(ready);
  }

  /** Returns the addresses for a caller in a zone, which is its failure domain, and a region. */
  List<String> addressesFor(String zone, String region) {
    List<String> selected = new ArrayList<>();
    for (Instance instance : instances) {
      if (instance.zone().equals(zone)) {
        selected.add(instance.address());
      }
    }
    if (selected.size() < MIN_ADDRESSES) {
      addMissing(selected, i -> i.region().equals(region));
    }
    if (selected.isEmpty()) {
      addMissing(selected, i -> true);
    }
    return selected.subList(0, Math.min(MAX_ADDRESSES, selected.size()));
  }

  private void addMissing(List<String> addresses, Predicate<Instance> predicate) {
    for (Instance instance : instances) {
      if (predicate.test(instance) && !addresses.contains(instance.address())) {
        addresses.add(instance.address());
      }
    }
  }
}
