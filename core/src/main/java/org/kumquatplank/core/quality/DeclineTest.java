package org.kumquatplank.core.quality;

/**
 * A sequential test for a mean rating below a target, valid when checked after every rating.
 *
 * <p>The null hypothesis is that the mean is at least the target. For each of several
 * sensitivities, a CUSUM-type statistic is multiplied by a factor per rating, which is above 1 for
 * a rating below the target, and restarts at 1 when it falls below 1. While the hypothesis holds,
 * the expected number of ratings before a false alarm is at least {@link #RATINGS_PER_FALSE_ALARM}.
 * Not thread-safe.
 */
final class DeclineTest {
  /**
   * Minimum expected number of ratings between false alarms; the threshold of the mean statistic.
   */
  static final double RATINGS_PER_FALSE_ALARM = 2_000_000;

  private static final double[] SENSITIVITIES = {0.7, 1.5, 3};

  private final double target;
  private final double[] statistics = new double[SENSITIVITIES.length];
  private boolean detected;

  DeclineTest(double target) {
    this.target = target;
  }

  /** Adds a rating and returns whether a mean below the target has been detected, now or before. */
  boolean add(double rating) {
    double total = 0;
    for (int i = 0; i < SENSITIVITIES.length; i++) {
      double factor = 1 + limitedSensitivity(SENSITIVITIES[i]) * (target - rating);
      statistics[i] = Math.max(1, statistics[i]) * factor;
      total += statistics[i];
    }
    detected |= total / SENSITIVITIES.length >= RATINGS_PER_FALSE_ALARM;
    return detected;
  }

  /** Limits a sensitivity so that the factor stays positive for the best rating, 1. */
  private double limitedSensitivity(double sensitivity) {
    double maxExcess = Math.max(1 - target, 0.01);
    return Math.min(sensitivity, 0.9 / maxExcess);
  }

  double target() {
    return target;
  }

  boolean isDetected() {
    return detected;
  }
}
