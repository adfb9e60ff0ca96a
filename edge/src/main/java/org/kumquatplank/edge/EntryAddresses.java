package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the instances that a caller is told to use: near ones, but never a single one.
 *
 * <p>Not thread-safe.
 */
final class EntryAddresses {
  /** A caller with one address only has nowhere to go when that instance dies. */
  private static final int LEAST_ADDRESSES = 2;

  private static final int MOST_ADDRESSES = 64;

  private List<Instance> instances = List.of();

  /** An instance that takes requests. */
  record Instance(String address, String zone, String region) {}

  void set(List<Instance> ready) {
    instances = List.copyOf(ready);
  }

  /** Returns the addresses for a caller in that failure domain. */
  List<String> addressesFor(String zone, String region) {
    List<String> near = new ArrayList<>();
    for (Instance instance : instances) {
      if (instance.zone().equals(zone)) {
        near.add(instance.address());
      }
    }
    if (near.size() < LEAST_ADDRESSES) {
      addMissing(near, i -> i.region().equals(region));
    }
    if (near.size() < LEAST_ADDRESSES) {
      addMissing(near, i -> true);
    }
    return near.subList(0, Math.min(MOST_ADDRESSES, near.size()));
  }

  private void addMissing(List<String> addresses, Predicate<Instance> wanted) {
    for (Instance instance : instances) {
      if (wanted.test(instance) && !addresses.contains(instance.address())) {
        addresses.add(instance.address());
      }
    }
  }
}
