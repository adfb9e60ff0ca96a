package org.kumquatplank.bench;

import java.util.Locale;
import java.util.Optional;

/**
 * A measured value with an optional bound; prints as one line of the results.
 *
 * @param metric printed name of the metric
 * @param deployment name of the deployment whose size was simulated
 * @param policy name of the policy
 * @param value measured value
 * @param unit unit of the value
 * @param bound bound from the stated target; empty for baselines
 */
record Figure(
    String metric,
    String deployment,
    String policy,
    double value,
    String unit,
    Optional<Bound> bound) {
  /**
   * A limit that the value must meet.
   *
   * @param limit limit, itself allowed
   * @param atMost true for an upper limit, false for a lower limit
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

  /** Returns whether the value misses its bound. */
  boolean fails() {
    return bound.isPresent() && !bound.get().holds(value);
  }

  @Override
  public String toString() {
    String boundText = bound.map(b -> (b.atMost() ? "<=" : ">=") + b.limit()).orElse("-");
    String verdict = bound.isEmpty() ? "-" : fails() ? "FAIL" : "PASS";
    return String.format(
        Locale.ROOT,
        "%-22s %-10s %-20s %12.4f %-10s %-10s %s",
        metric,
        deployment,
        policy,
        value,
        unit,
        boundText,
        verdict);
  }
}
