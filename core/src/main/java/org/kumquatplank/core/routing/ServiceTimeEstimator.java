package org.kumquatplank.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the service time of a request on a backend server from completed requests of its class.
 *
 * <p>A class without completed requests gets a short default, so that no request is rejected
 * because of a guess. Not thread-safe.
 */
final class ServiceTimeEstimator {
  private static final double DEFAULT_SERVICE_MICROS = 100_000;
  private static final double SMOOTHING_FACTOR = 0.1;

  private final OutputLengthEstimator lengths;
  private final Map<String, Estimate> byClass = new HashMap<>();

  ServiceTimeEstimator(OutputLengthEstimator lengths) {
    this.lengths = lengths;
  }

  /** Exponentially weighted means of one work class. */
  private static final class Estimate {
    private double firstTokenMicros;
    private double tokenIntervalMicros;
  }

  /**
   * Records a completed request.
   *
   * @param tokens number of generated tokens
   * @param firstTokenMicros time from sending to the first token, in microseconds
   * @param totalMicros time from sending to the end of the response, in microseconds
   */
  void observe(RoutingRequest request, long tokens, double firstTokenMicros, double totalMicros) {
    double tokenIntervalMicros = Math.max(0, totalMicros - firstTokenMicros) / Math.max(1, tokens);
    Estimate estimate = byClass.get(request.workClass().name());
    if (estimate == null) {
      estimate = new Estimate();
      estimate.firstTokenMicros = firstTokenMicros;
      estimate.tokenIntervalMicros = tokenIntervalMicros;
      byClass.put(request.workClass().name(), estimate);
    }
    estimate.firstTokenMicros += SMOOTHING_FACTOR * (firstTokenMicros - estimate.firstTokenMicros);
    estimate.tokenIntervalMicros +=
        SMOOTHING_FACTOR * (tokenIntervalMicros - estimate.tokenIntervalMicros);
  }

  /** Returns the expected service time on a backend server, in microseconds. */
  double predict(RoutingRequest request) {
    Estimate estimate = byClass.get(request.workClass().name());
    if (estimate == null) {
      return DEFAULT_SERVICE_MICROS;
    }
    double tokens = lengths.predict(request.workClass().name(), request.account());
    return estimate.firstTokenMicros + tokens * estimate.tokenIntervalMicros;
  }
}
