package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the model that answers a request, and decides whether a first answer is good enough.
 *
 * <p>The smallest model is asked first: it reads a prompt in a fraction of the time, and the answer
 * says how sure the model is. A larger one is asked instead when the answer is doubtful; the less
 * time or room there is for that, the more doubtful it has to be. The bound falls with the square
 * of the time needed: a large prompt is worth most and needs half of its time even at an idle
 * engine. So under a peak the cheap answers go out and the engines stay free. Immutable and
 * thread-safe.
 */
public final class ModelChooser {
  private final int leastConfidence;

  private ModelChooser(int leastConfidence) {
    this.leastConfidence = leastConfidence;
  }

  /**
   * Returns a chooser.
   *
   * @param leastConfidence opinion of a model on its own answer, 0 to 100, below which a larger one
   *     is asked when there is all the time for it
   */
  public static ModelChooser create(int leastConfidence) {
    return new ModelChooser(leastConfidence);
  }

  /** Expected times with a model. */
  @FunctionalInterface
  public interface FirstEventEstimate {
    /** Returns the estimate, or nothing when no backend server can run it now. */
    Optional<LatencyEstimate> of(String model);
  }

  /**
   * Expected time to the first event.
   *
   * @param totalMicros whole time, microseconds
   * @param queueMicros part of it that goes by before the prompt is read, microseconds
   */
  public record LatencyEstimate(double totalMicros, double queueMicros) {}

  /** Returns the model to ask first, or nothing where the caller has named it. */
  public Optional<String> first(DispatchRequest request) {
    List<String> models = request.route().models();
    if (models.isEmpty()) {
      return Optional.empty();
    }
    boolean mayAskAgain = request.route().isRepeatable() && request.route().maxSends() > 1;
    return Optional.of(mayAskAgain ? models.get(0) : models.get(models.size() - 1));
  }

  /**
   * Returns the model to ask instead of passing on an answer, or nothing when the answer goes out.
   *
   * @param confidence opinion of the model on its own answer, 0 to 100
   */
  public Optional<String> larger(
      DispatchRequest request, String model, int confidence, FirstEventEstimate estimate, long now) {
    List<String> models = request.route().models();
    int at = models.indexOf(model);
    if (at < 0 || at == models.size() - 1) {
      return Optional.empty();
    }
    String largest = models.get(models.size() - 1);
    double left = request.target() - now;
    Optional<LatencyEstimate> expected = estimate.of(largest).filter(e -> e.totalMicros() < left);
    if (expected.isEmpty()) {
      return Optional.empty();
    }
    double part = expected.get().totalMicros() / left;
    double bound = leastConfidence * (1 - part * part);
    return confidence < bound ? Optional.of(largest) : Optional.empty();
  }
}
