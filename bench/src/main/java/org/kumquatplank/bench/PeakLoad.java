package org.kumquatplank.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What can be reached at the peak of the load, in work and in fairness. Stateless. */
final class PeakLoad {
  private PeakLoad() {}

  /** Returns the work of a request: the time that it takes on the version that it needs. */
  static double work(Result r) {
    boolean large = r.workClass().equals(Scenario.RETELLING);
    VersionProfile version = Scenario.defaultVersions().get(large ? 1 : 0);
    return Clairvoyant.serviceMicros(version, r.request().tokens());
  }

  /**
   * Returns the work that the engines could do in time: what arrives late in the crest may be done
   * up to its own deadline.
   */
  static double capacity(Scenario scenario, List<Result> crest, long micros) {
    double slots = scenario.engines() / 2.0 * Scenario.SLOTS;
    double meanSlack =
        crest.stream().mapToDouble(r -> r.request().work().workClass().finishMillis()).sum()
            * 1_000
            / crest.size();
    double large = 0;
    double small = 0;
    for (Result r : crest) {
      if (r.workClass().equals(Scenario.RETELLING)) {
        large += work(r);
      } else {
        small += work(r);
      }
    }
    double bound = slots * (micros + meanSlack);
    return Math.min(large, bound) + Math.min(small, bound);
  }

  /** Returns the least part of its max-min fair share that an account got. */
  static double leastShare(List<Result> results) {
    Map<String, double[]> byAccount = new TreeMap<>();
    double total = 0;
    for (Result r : results) {
      double[] sums = byAccount.computeIfAbsent(r.request().work().account(), a -> new double[2]);
      sums[0] += work(r);
      sums[1] += r.inTime() ? work(r) : 0;
      total += r.inTime() ? work(r) : 0;
    }
    double level = fairLevel(byAccount, total);
    return byAccount.values().stream()
        .mapToDouble(s -> s[1] / Math.min(s[0], level))
        .min()
        .orElse(Double.NaN);
  }

  private static double fairLevel(Map<String, double[]> byAccount, double total) {
    List<Double> offered = byAccount.values().stream().map(s -> s[0]).sorted().toList();
    double left = total;
    for (int i = 0; i < offered.size(); i++) {
      double even = left / (offered.size() - i);
      if (offered.get(i) >= even) {
        return even;
      }
      left -= offered.get(i);
    }
    return Double.MAX_VALUE;
  }
}
