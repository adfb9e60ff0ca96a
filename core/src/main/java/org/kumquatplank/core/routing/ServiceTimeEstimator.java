package org.kumquatplank.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts how long a request occupies an engine, from earlier ones of its class.
 *
 * <p>What was never seen is taken to be short: a guess must not be a reason to refuse. Not
 * thread-safe.
 */
final class ServiceTimeEstimator {
  private static final double FIRST_GUESS_MICROS = 100_000;
  private static final double LEARNING_RATE = 0.1;

  private final OutputLengthEstimator lengths;
  private final Map<String, Pace> byClass = new HashMap<>();

  ServiceTimeEstimator(OutputLengthEstimator lengths) {
    this.lengths = lengths;
  }

  /** Running means of one class. */
  private static final class Pace {
    private double delayMicros;
    private double tokenMicros;
  }

  /**
   * Takes in a request that ran to its end.
   *
   * @param delayMicros time from dispatch to the first token
   * @param totalMicros time from dispatch to the end
   */
  void observe(RoutingRequest request, long tokens, double delayMicros, double totalMicros) {
    double tokenMicros = Math.max(0, totalMicros - delayMicros) / Math.max(1, tokens);
    Pace pace = byClass.get(request.workClass().name());
    if (pace == null) {
      pace = new Pace();
      pace.delayMicros = delayMicros;
      pace.tokenMicros = tokenMicros;
      byClass.put(request.workClass().name(), pace);
    }
    pace.delayMicros += LEARNING_RATE * (delayMicros - pace.delayMicros);
    pace.tokenMicros += LEARNING_RATE * (tokenMicros - pace.tokenMicros);
  }

  /** Returns the expected time on an engine, in microseconds. */
  double predict(RoutingRequest request) {
    Pace pace = byClass.get(request.workClass().name());
    if (pace == null) {
      return FIRST_GUESS_MICROS;
    }
    double tokens = lengths.predict(request.workClass().name(), request.account());
    return pace.delayMicros + tokens * pace.tokenMicros;
  }
}
