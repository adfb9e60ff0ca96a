package org.kumquatplank.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.WorkClass;

/** What a policy could reach that knows true qualities and lengths. Stateless. */
final class Clairvoyant {
  private static final long PROMPT_TOKENS = 200;
  private static final long CASCADE_FIRST_TOKEN_MILLIS = 2_000;
  private static final double USUAL_CROWDING = 1.5;

  private Clairvoyant() {}

  /** Returns the lowest cost at which the same requests could have met their quality targets. */
  static double cost(Scenario scenario, List<Result> results) {
    Map<String, Double> tokenCosts = new TreeMap<>();
    double total = 0;
    for (Result result : results) {
      String name = result.workClass();
      double perToken = tokenCosts.computeIfAbsent(name, c -> costFactor(scenario, c));
      total += perToken * unitCost(result);
    }
    return total;
  }

  private static double unitCost(Result result) {
    return PROMPT_TOKENS + 4.0 * result.request().tokens();
  }

  /** Returns the lowest price of a prompt token, all in, with which the class meets its target. */
  private static double costFactor(Scenario scenario, String className) {
    Configuration configuration = scenario.configuration();
    WorkClass workClass = configuration.findClass(className).orElseThrow();
    double best = Double.MAX_VALUE;
    for (VersionProfile version : scenario.versions()) {
      double price = price(configuration, version);
      double quality = scenario.quality().quality(version, className, 0);
      if (quality >= workClass.quality()) {
        best = Math.min(best, price);
      }
      if (workClass.firstTokenMillis() < CASCADE_FIRST_TOKEN_MILLIS) {
        continue;
      }
      for (VersionProfile second : scenario.versions()) {
        // A version that failed on a prompt is likely to fail on it again.
        if (second.equals(version)) {
          continue;
        }
        double after = scenario.quality().quality(second, className, 0);
        boolean meets = quality + (1 - quality) * after >= workClass.quality();
        if (meets) {
          best = Math.min(best, price + (1 - quality) * price(configuration, second));
        }
      }
    }
    return best;
  }

  private static double price(Configuration configuration, VersionProfile version) {
    return configuration.findVersion(version.name()).map(ModelVersion::promptCost).orElseThrow()
        / 1_000_000.0;
  }

  /** Returns the time that a request takes on a version at the usual crowding, in microseconds. */
  static double serviceMicros(VersionProfile version, int tokens) {
    return 20_000 + tokens * version.tokenMicros() * USUAL_CROWDING;
  }

  /**
   * Returns the number of ratings after which the best sequential test, which knows the bad mean,
   * stops it at the same rate of false alarms.
   */
  static double ratingsNeeded(double target, double bad, double ratingsPerFalseAlarm) {
    double divergence =
        bad * Math.log(bad / target) + (1 - bad) * Math.log((1 - bad) / (1 - target));
    return Math.log(ratingsPerFalseAlarm) / divergence;
  }
}
