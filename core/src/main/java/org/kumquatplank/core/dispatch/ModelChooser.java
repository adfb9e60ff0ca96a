package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the model for a request and decides whether to escalate to a larger model.
 *
 * <p>A request goes to the smallest model first, which needs a fraction of the prefill time and
 * reports the confidence of its response. A response of low confidence is replaced by one of the
 * largest model. The confidence threshold falls as the larger model is expected to use up more of
 * the remaining time, so that under peak load the low-cost responses are passed on and the engines
 * keep capacity. It falls with the square of that ratio, because large prompts, which are the most
 * valuable to escalate, use up half of their time even on an idle engine. Immutable and
 * thread-safe.
 */
public final class ModelChooser {
  private final int minConfidence;

  private ModelChooser(int minConfidence) {
    this.minConfidence = minConfidence;
  }

  /**
   * Returns a chooser.
   *
   * @param minConfidence confidence reported by a model, 0 to 100, below which a request is
   *     escalated when the expected latency of the larger model is negligible
   */
  public static ModelChooser create(int minConfidence) {
    return new ModelChooser(minConfidence);
  }

  /** Estimates the time to first token with a model. */
  @FunctionalInterface
  public interface LatencyEstimator {
    /** Returns the estimate, or nothing if no backend server can run the model now. */
    Optional<LatencyEstimate> estimate(String model);
  }

  /**
   * Expected time to the first event of a response.
   *
   * @param totalMicros total time, microseconds
   * @param queueWaitMicros queue wait before the prefill starts, microseconds
   */
  public record LatencyEstimate(double totalMicros, double queueWaitMicros) {}

  /** Returns the model for the first send, or nothing if the caller named the model. */
  public Optional<String> firstModel(DispatchRequest request) {
    List<String> models = request.route().models();
    if (models.isEmpty()) {
      return Optional.empty();
    }
    boolean mayEscalate = request.route().isRetryable() && request.route().maxAttempts() > 1;
    return Optional.of(mayEscalate ? models.get(0) : models.get(models.size() - 1));
  }

  /**
   * Returns the largest model to escalate to, or nothing if the response is passed to the caller.
   *
   * @param model model that produced the response
   * @param confidence confidence reported by that model, 0 to 100
   */
  public Optional<String> escalationModel(
      DispatchRequest request, String model, int confidence, LatencyEstimator estimator, long now) {
    List<String> models = request.route().models();
    int index = models.indexOf(model);
    if (index < 0 || index == models.size() - 1) {
      return Optional.empty();
    }
    String largest = models.get(models.size() - 1);
    double remainingMicros = request.targetMicros() - now;
    Optional<LatencyEstimate> expected =
        estimator.estimate(largest).filter(e -> e.totalMicros() < remainingMicros);
    if (expected.isEmpty()) {
      return Optional.empty();
    }
    double usedRatio = expected.get().totalMicros() / remainingMicros;
    double threshold = minConfidence * (1 - usedRatio * usedRatio);
    return confidence < threshold ? Optional.of(largest) : Optional.empty();
  }
}
