package org.kumquatplank.bench;

import java.util.stream.DoubleStream;

/** Quantiles and ratios of measured values. Stateless. */
final class Statistics {
  private Statistics() {}

  /** Returns a quantile of the values other than NaN, or NaN if there are none. */
  static double quantile(DoubleStream values, double quantile) {
    double[] sorted = values.filter(v -> !Double.isNaN(v)).sorted().toArray();
    if (sorted.length == 0) {
      return Double.NaN;
    }
    int index = (int) Math.min(sorted.length - 1, Math.floor(quantile * sorted.length));
    return sorted[index];
  }

  /** Returns the ratio of a part to the total, or NaN if the total is zero. */
  static double ratio(long part, long total) {
    return total == 0 ? Double.NaN : (double) part / total;
  }
}
