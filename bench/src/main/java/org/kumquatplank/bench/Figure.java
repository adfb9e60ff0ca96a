package org.kumquatplank.bench;

import java.util.Locale;
import java.util.Optional;

/**
 * One figure.
 *
 * @param measure what was measured
 * @param user whose size
 * @param policy which policy
 * @param value the figure
 * @param unit its unit
 * @param bound the bound from the stated target, for the product's own policy
 */
record Figure(
    String measure, String user, String policy, double value, String unit, Optional<Bound> bound) {
  /**
   * A bound of a figure.
   *
   * @param limit the limit
   * @param atMost whether the figure must not exceed it; otherwise it must reach it
   */
  record Bound(double limit, boolean atMost) {
    static Optional<Bound> atMost(double limit) {
      return Optional.of(new Bound(limit, true));
    }

    static Optional<Bound> atLeast(double limit) {
      return Optional.of(new Bound(limit, false));
    }

    boolean holds(double value) {
      return atMost ? value <= limit : value >= limit;
    }
  }

  boolean fails() {
    return bound.isPresent() && !bound.get().holds(value);
  }

  @Override
  public String toString() {
    String shown = bound.map(b -> (b.atMost() ? "<=" : ">=") + b.limit()).orElse("-");
    String verdict = bound.isEmpty() ? "-" : fails() ? "FAIL" : "PASS";
    return String.format(
        Locale.ROOT,
        "%-22s %-10s %-20s %12.4f %-10s %-10s %s",
        measure,
        user,
        policy,
        value,
        unit,
        shown,
        verdict);
  }
}
