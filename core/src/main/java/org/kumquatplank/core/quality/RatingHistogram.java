package org.kumquatplank.core.quality;

/**
 * An exponentially decaying histogram of the ratings of one version in one class.
 *
 * <p>Old ratings lose weight, so that a slow decline becomes visible. Not thread-safe.
 */
final class RatingHistogram {
  static final int BINS = 21;
  private static final double DECAY_PER_RATING = 1 - 1.0 / 500;

  private final double[] weights = new double[BINS];
  private double totalWeight;
  private double sum;
  private double sumOfSquares;

  void add(double rating) {
    for (int i = 0; i < BINS; i++) {
      weights[i] *= DECAY_PER_RATING;
    }
    weights[(int) Math.round(rating * (BINS - 1))]++;
    totalWeight = totalWeight * DECAY_PER_RATING + 1;
    sum = sum * DECAY_PER_RATING + rating;
    sumOfSquares = sumOfSquares * DECAY_PER_RATING + rating * rating;
  }

  double totalWeight() {
    return totalWeight;
  }

  double mean() {
    return totalWeight == 0 ? 0 : sum / totalWeight;
  }

  double variance() {
    return totalWeight == 0 ? 0 : Math.max(0, sumOfSquares / totalWeight - mean() * mean());
  }

  /** Returns the share of ratings at or above the threshold, or 0 without ratings. */
  double shareAtLeast(double threshold) {
    double weight = 0;
    for (int i = 0; i < BINS; i++) {
      if (binValue(i) >= threshold) {
        weight += weights[i];
      }
    }
    return totalWeight == 0 ? 0 : weight / totalWeight;
  }

  /** Returns the mean of the ratings at or above the threshold, or 0 if there are none. */
  double meanOfAtLeast(double threshold) {
    double weight = 0;
    double weightedSum = 0;
    for (int i = 0; i < BINS; i++) {
      if (binValue(i) >= threshold) {
        weight += weights[i];
        weightedSum += weights[i] * binValue(i);
      }
    }
    return weight == 0 ? 0 : weightedSum / weight;
  }

  static double binValue(int bin) {
    return (double) bin / (BINS - 1);
  }
}
