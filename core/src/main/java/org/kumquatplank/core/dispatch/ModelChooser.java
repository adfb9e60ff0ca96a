package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the model that answers a request, and decides whether a first answer is good enough.
 *
 * <p>The smallest model is asked first: it reads a prompt in a fraction of the time, and the answer
 * says how sure the model is. A larger one is asked instead when the answer is doubtful; the less
 * time or room there is for that, the more doubtful it has to be. So under a peak the cheap answers
 * go out and the engines stay free. Immutable and thread-safe.
 */
public final class ModelChooser {
  /** Part of the time left that may go by in a queue before a large prompt is begun. */
  private static final double MOST_QUEUE_SHARE = 0.2;

  /** A larger model is seldom asked when it takes more than this part of the time left. */
  private static final double MOST_REPEAT_SHARE = 0.6;

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
    Optional<Expected> of(String model);
  }

  /**
   * Expected time to the first event.
   *
   * @param totalMicros whole time, microseconds
   * @param queueMicros part of it that goes by before the prompt is read, microseconds
   */
  public record Expected(double totalMicros, double queueMicros) {}

  /**
   * Returns the model to ask first, or nothing where the caller has named it.
   *
   * <p>A prompt that is too large to be read twice in time goes to the largest model at once, as
   * long as little waits there.
   */
  public Optional<String> first(Demand demand, FirstEventEstimate estimate, long now) {
    List<String> models = demand.route().models();
    if (models.isEmpty()) {
      return Optional.empty();
    }
    String smallest = models.get(0);
    String largest = models.get(models.size() - 1);
    boolean mayAskAgain = demand.route().isRepeatable() && demand.route().maxSends() > 1;
    if (!mayAskAgain) {
      return Optional.of(largest);
    }
    double left = demand.target() - now;
    double first = estimate.of(smallest).map(Expected::totalMicros).orElse(0.0);
    return estimate
        .of(largest)
        .filter(e -> first + e.totalMicros() / MOST_REPEAT_SHARE > left)
        .filter(e -> e.totalMicros() <= left && e.queueMicros() <= MOST_QUEUE_SHARE * left)
        .map(e -> largest)
        .or(() -> Optional.of(smallest));
  }

  /**
   * Returns the model to ask instead of passing on an answer, or nothing when the answer goes out.
   *
   * @param confidence opinion of the model on its own answer, 0 to 100
   */
  public Optional<String> larger(
      Demand demand, String model, int confidence, FirstEventEstimate estimate, long now) {
    List<String> models = demand.route().models();
    int at = models.indexOf(model);
    if (at < 0 || at == models.size() - 1) {
      return Optional.empty();
    }
    String largest = models.get(models.size() - 1);
    double left = demand.target() - now;
    Optional<Expected> expected = estimate.of(largest).filter(e -> e.totalMicros() < left);
    if (expected.isEmpty()) {
      return Optional.empty();
    }
    double bound = leastConfidence * (1 - expected.get().totalMicros() / left);
    return confidence < bound ? Optional.of(largest) : Optional.empty();
  }
}
