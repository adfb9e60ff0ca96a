package org.kumquatplank.bench;

import java.util.Map;
import java.util.Random;

/**
 * What a version is really like.
 *
 * @param name its name
 * @param tokenMicros time between tokens on an idle engine
 * @param qualities true mean rating per class
 */
record VersionProfile(String name, double tokenMicros, Map<String, Double> qualities) {
  double quality(String workClass) {
    return qualities.getOrDefault(workClass, 0.0);
  }

  /** Draws a rating: most answers are right or wrong, so ratings are far apart. */
  static double draw(double quality, Random random) {
    return random.nextDouble() < quality ? 1 : 0;
  }
}
