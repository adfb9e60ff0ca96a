package org.kumquatplank.core.pace;

/**
 * Deviations of the latency of one backend server from the usual one, by load, as this instance has
 * observed them.
 *
 * <p>Evidence fades: a response counts half after a half-life. Not thread-safe.
 */
final class PaceEvidence {
  /** Half-life of the evidence: a server that recovers is used again after a few of them. */
  static final long HALF_LIFE_MICROS = 5_000_000;

  /** Samples on each side of a load from which on a server is slower. */
  private static final double MIN_KNEE_SAMPLES = 3;

  /** Multiple of the standard error by which the server must be slower from the knee on. */
  private static final double KNEE_SIGNIFICANCE = 3;

  /** Smallest increase of the latency at a knee, as a logarithm of a ratio (factor 1.5). */
  private static final double MIN_KNEE_RISE = 0.4;

  private final double[] samples = new double[LoadBand.COUNT];
  private final double[] sums = new double[LoadBand.COUNT];
  private double spread = 0.5;
  private long fadedAt = Long.MIN_VALUE;

  /** Samples and their mean deviation. */
  record Mean(double samples, double deviation) {}

  void add(int band, double deviation, double newSpread, long now) {
    fade(now);
    samples[band]++;
    sums[band] += deviation;
    spread = newSpread;
  }

  /** Returns the weight of evidence of an age. */
  static double weight(long ageMicros) {
    return Math.exp(-Math.log(2) * Math.max(0, ageMicros) / HALF_LIFE_MICROS);
  }

  /** Returns the standard deviation of a single response of the service. */
  double spread() {
    return spread;
  }

  private void fade(long now) {
    if (fadedAt != Long.MIN_VALUE && now > fadedAt) {
      double weight = weight(now - fadedAt);
      for (int i = 0; i < LoadBand.COUNT; i++) {
        samples[i] *= weight;
        sums[i] *= weight;
      }
    }
    fadedAt = Math.max(fadedAt, now);
  }

  /** Returns the evidence of the bands in [from, to). */
  Mean mean(int from, int to, long now) {
    fade(now);
    double n = 0;
    double sum = 0;
    for (int i = from; i < to; i++) {
      n += samples[i];
      sum += sums[i];
    }
    return new Mean(n, n > 0 ? sum / n : 0);
  }

  /** Returns the first band from which on the server is clearly slower, or the number of bands. */
  int knee(long now) {
    int knee = LoadBand.COUNT;
    double best = KNEE_SIGNIFICANCE;
    for (int edge = 1; edge < LoadBand.COUNT; edge++) {
      Mean below = mean(0, edge, now);
      Mean above = mean(edge, LoadBand.COUNT, now);
      if (Math.min(below.samples(), above.samples()) < MIN_KNEE_SAMPLES) {
        continue;
      }
      double rise = above.deviation() - below.deviation();
      double error = spread * Math.sqrt(1 / below.samples() + 1 / above.samples());
      if (rise > MIN_KNEE_RISE && rise / error > best) {
        best = rise / error;
        knee = edge;
      }
    }
    return knee;
  }
}
