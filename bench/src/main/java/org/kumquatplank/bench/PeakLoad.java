package org.kumquatplank.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Upper bound on the work done in time during a load peak, and the fairness of its division between
 * accounts. Stateless.
 */
final class PeakLoad {
  private PeakLoad() {}

  /**
   * Returns the work of a request in microseconds: its service time on the large version for
   * retellings, and on the small version for all other classes.
   */
  static double workMicros(RequestResult r) {
    boolean large = r.workClass().equals(Scenario.RETELLING);
    VersionProfile version = Scenario.defaultVersions().get(large ? 1 : 0);
    return OracleBounds.serviceMicros(version, r.request().outputTokens());
  }

  /**
   * Returns the work in microseconds that the engines could finish in time. Requests that arrive
   * late in the peak may finish after it, up to their own deadlines.
   *
   * @param peak requests that arrived during the peak
   * @param micros length of the peak
   */
  static double achievableWorkMicros(Scenario scenario, List<RequestResult> peak, long micros) {
    double slots = scenario.engines() / 2.0 * Scenario.SLOTS_PER_ENGINE;
    double meanSlack =
        peak.stream()
                .mapToDouble(r -> r.request().routingRequest().workClass().finishMillis())
                .sum()
            * 1_000
            / peak.size();
    double largeWork = 0;
    double smallWork = 0;
    for (RequestResult r : peak) {
      if (r.workClass().equals(Scenario.RETELLING)) {
        largeWork += workMicros(r);
      } else {
        smallWork += workMicros(r);
      }
    }
    double capacity = slots * (micros + meanSlack);
    return Math.min(largeWork, capacity) + Math.min(smallWork, capacity);
  }

  /**
   * Returns the lowest ratio, over all accounts, of the work done in time to the max-min fair share
   * of the account.
   */
  static double minFairShareRatio(List<RequestResult> results) {
    Map<String, double[]> byAccount = new TreeMap<>();
    double total = 0;
    for (RequestResult r : results) {
      double[] offeredAndServed =
          byAccount.computeIfAbsent(r.request().routingRequest().account(), a -> new double[2]);
      offeredAndServed[0] += workMicros(r);
      offeredAndServed[1] += r.metDeadline() ? workMicros(r) : 0;
      total += r.metDeadline() ? workMicros(r) : 0;
    }
    double fairShare = maxMinFairShare(byAccount, total);
    return byAccount.values().stream()
        .mapToDouble(s -> s[1] / Math.min(s[0], fairShare))
        .min()
        .orElse(Double.NaN);
  }

  /** Returns the max-min fair share of an account that offers more work than that. */
  private static double maxMinFairShare(Map<String, double[]> byAccount, double total) {
    List<Double> offered = byAccount.values().stream().map(s -> s[0]).sorted().toList();
    double remaining = total;
    for (int i = 0; i < offered.size(); i++) {
      double evenShare = remaining / (offered.size() - i);
      if (offered.get(i) >= evenShare) {
        return evenShare;
      }
      remaining -= offered.get(i);
    }
    return Double.MAX_VALUE;
  }
}
