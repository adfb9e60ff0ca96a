package org.kumquatplank.core.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Usual deviation of the latency of a service from its forecast, over all of its backend servers.
 *
 * <p>Answers what slows all servers alike in the eyes of this instance: a forecast that is wrong
 * for a model, a load under which every server is slower, and the lack of processor time of this
 * instance or a burst of the whole service. Each part is a running median, which a few slow servers
 * do not move. Not thread-safe.
 */
final class ServicePrior {
  /** Number of models that are told apart; all others share one median. */
  private static final int MAX_MODELS = 32;

  /** Samples of a model before which its responses are not compared. */
  private static final int MIN_SAMPLES = 12;

  /**
   * Steps of the median that follows changes of the whole service, as a logarithm of a ratio. They
   * grow while all responses are on one side of it, and shrink otherwise.
   */
  private static final double MIN_LEVEL_STEP = 0.03;

  private static final double MAX_LEVEL_STEP = 0.5;
  private static final double LEVEL_STEP_GROWTH = 1.5;
  private static final double LEVEL_STEP_SHRINKAGE = 0.5;

  /** Step above which the whole service seems to change, so that no single server is blamed. */
  private static final double MAX_ATTRIBUTED_STEP = 0.12;

  /** Step of the median of a model, which changes little. */
  private static final double MODEL_STEP = 0.03;

  /** Step of the median of a load band. */
  private static final double BAND_STEP = 0.015;

  /** Largest deviation that counts; a single response must not outweigh all others. */
  private static final double MAX_DEVIATION = 1.5;

  /** Spread that is assumed before the first samples. */
  private static final double INITIAL_SPREAD = 0.5;

  /** Smallest spread, so that a service of very even latency is not judged by differences of 1%. */
  private static final double MIN_SPREAD = 0.1;

  private static final double SPREAD_SMOOTHING = 0.02;

  private static final double UTILIZATION_SMOOTHING = 0.1;

  /** Ratio of the standard deviation to the mean absolute deviation of a normal distribution. */
  private static final double NORMAL_RATIO = 1.25;

  private final Map<Optional<String>, Median> byModel = new HashMap<>();
  private final double[] byBand = new double[LoadBand.COUNT];
  private double level;
  private double levelStep = MIN_LEVEL_STEP;
  private double lastSign;
  private double utilization;
  private double meanDeviation = INITIAL_SPREAD / NORMAL_RATIO;

  private static final class Median {
    private double value;
    private int samples;

    void add(double sample) {
      value = samples == 0 ? sample : value + Math.max(MODEL_STEP, 0.5 / samples) * sign(sample);
      samples++;
    }

    private double sign(double sample) {
      return Math.signum(sample - value);
    }
  }

  /**
   * Records a response and returns how far its latency is from the usual one, as the logarithm of a
   * ratio, or nothing while the usual one is not known.
   *
   * @param logRatio logarithm of the ratio of the latency to its forecast
   */
  Optional<Double> record(Optional<String> model, int band, double logRatio) {
    Median median = byModel.computeIfAbsent(keyOf(model), m -> new Median());
    if (median.samples < MIN_SAMPLES) {
      median.add(logRatio - level - byBand[band]);
      return Optional.empty();
    }
    double deviation = logRatio - median.value - level - byBand[band];
    median.add(logRatio - level - byBand[band]);
    moveLevel(Math.signum(deviation));
    byBand[band] += BAND_STEP * Math.signum(deviation);
    double clamped = Math.clamp(deviation, -MAX_DEVIATION, MAX_DEVIATION);
    meanDeviation += SPREAD_SMOOTHING * (Math.abs(clamped) - meanDeviation);
    return levelStep > MAX_ATTRIBUTED_STEP ? Optional.empty() : Optional.of(clamped);
  }

  private void moveLevel(double sign) {
    double factor = sign == lastSign ? LEVEL_STEP_GROWTH : LEVEL_STEP_SHRINKAGE;
    levelStep = Math.clamp(levelStep * factor, MIN_LEVEL_STEP, MAX_LEVEL_STEP);
    level += levelStep * sign;
    lastSign = sign;
  }

  /** Records the part of the slots that were in use at a server when it responded. */
  void recordUtilization(double usedRatio) {
    utilization += UTILIZATION_SMOOTHING * (Math.min(1, usedRatio) - utilization);
  }

  /** Returns the mean part of the slots of the service that is in use. */
  double utilization() {
    return utilization;
  }

  private Optional<String> keyOf(Optional<String> model) {
    return byModel.containsKey(model) || byModel.size() < MAX_MODELS ? model : Optional.empty();
  }

  /** Returns the standard deviation of a single response. */
  double spread() {
    return Math.max(MIN_SPREAD, meanDeviation * NORMAL_RATIO);
  }
}
