package org.kumquatplank.bench;

import java.util.Map;
import java.util.Random;

/**
 * Actual speed and quality of a model version in the simulation.
 *
 * @param name name of the version
 * @param microsPerToken time between tokens on an idle engine, in microseconds
 * @param qualities mean rating by work class, from 0 to 1
 */
record VersionProfile(String name, double microsPerToken, Map<String, Double> qualities) {
  /** Returns the mean rating in a work class, 0 if the class is unknown. */
  double quality(String workClass) {
    return qualities.getOrDefault(workClass, 0.0);
  }

  /**
   * Draws a rating of 0 or 1 with the given mean. Most responses are either right or wrong, so
   * intermediate ratings are left out.
   */
  static double drawRating(double quality, Random random) {
    return random.nextDouble() < quality ? 1 : 0;
  }
}
