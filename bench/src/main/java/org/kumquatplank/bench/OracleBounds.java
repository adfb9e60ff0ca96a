package org.kumquatplank.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.WorkClass;

/**
 * Best results that a policy could reach if it knew the true quality of every version and the
 * output length of every request. Stateless.
 */
final class OracleBounds {
  private static final long PROMPT_TOKENS = 200;
  private static final double PREFILL_MICROS = 20_000;

  /** Shortest first-token target of a work class with which a cascade is allowed. */
  private static final long MIN_CASCADE_FIRST_TOKEN_MILLIS = 2_000;

  /** Factor by which a typically loaded batch slows token generation down. */
  private static final double TYPICAL_LOAD_FACTOR = 1.5;

  private OracleBounds() {}

  /** Returns the lowest cost at which the same requests could have met their quality targets. */
  static double minimumCost(Scenario scenario, List<RequestResult> results) {
    Map<String, Double> pricesByClass = new TreeMap<>();
    double total = 0;
    for (RequestResult result : results) {
      String className = result.workClass();
      double price = pricesByClass.computeIfAbsent(className, c -> minimumTokenPrice(scenario, c));
      total += price * billableTokens(result);
    }
    return total;
  }

  /** Returns the tokens of a request; an output token is billed like four prompt tokens. */
  private static double billableTokens(RequestResult result) {
    return PROMPT_TOKENS + 4.0 * result.request().outputTokens();
  }

  /**
   * Returns the lowest price per prompt token at which one version or a cascade of two meets the
   * quality target of the class. The price of a cascade includes the expected cost of its second
   * version.
   */
  private static double minimumTokenPrice(Scenario scenario, String className) {
    Configuration configuration = scenario.configuration();
    WorkClass workClass = configuration.findClass(className).orElseThrow();
    double lowest = Double.MAX_VALUE;
    for (VersionProfile version : scenario.versions()) {
      double price = promptTokenPrice(configuration, version);
      double quality = scenario.quality().quality(version, className, 0);
      if (quality >= workClass.quality()) {
        lowest = Math.min(lowest, price);
      }
      if (workClass.firstTokenMillis() < MIN_CASCADE_FIRST_TOKEN_MILLIS) {
        continue;
      }
      for (VersionProfile second : scenario.versions()) {
        // Escalating to the same version gains nothing: it is likely to fail on the prompt again.
        if (second.equals(version)) {
          continue;
        }
        double secondQuality = scenario.quality().quality(second, className, 0);
        boolean meets = quality + (1 - quality) * secondQuality >= workClass.quality();
        if (meets) {
          lowest =
              Math.min(lowest, price + (1 - quality) * promptTokenPrice(configuration, second));
        }
      }
    }
    return lowest;
  }

  private static double promptTokenPrice(Configuration configuration, VersionProfile version) {
    return configuration.findVersion(version.name()).map(ModelVersion::promptCost).orElseThrow()
        / 1_000_000.0;
  }

  /** Returns the service time of a request on a version at typical load, in microseconds. */
  static double serviceMicros(VersionProfile version, int tokens) {
    return PREFILL_MICROS + tokens * version.microsPerToken() * TYPICAL_LOAD_FACTOR;
  }

  /**
   * Returns the expected number of ratings that an optimal sequential test needs to detect a bad
   * version, given its mean and the same rate of false alarms.
   *
   * @param target target mean rating
   * @param badMean mean rating of the bad version
   * @param ratingsPerFalseAlarm mean number of ratings between two false alarms
   */
  static double minimumRatings(double target, double badMean, double ratingsPerFalseAlarm) {
    double klDivergence =
        badMean * Math.log(badMean / target)
            + (1 - badMean) * Math.log((1 - badMean) / (1 - target));
    return Math.log(ratingsPerFalseAlarm) / klDivergence;
  }
}
