package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.catalog.Route;

/**
 * Chooses the model that answers a request, and decides whether a first answer is good enough.
 *
 * <p>Asks a small model first where there is time to ask a larger one afterwards: most of the work
 * is then done for little, and the answer itself says when it is not good enough. Immutable and
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
   *     is asked
   */
  public static ModelChooser create(int leastConfidence) {
    return new ModelChooser(leastConfidence);
  }

  /** Expected time to the first event with a model, microseconds. */
  @FunctionalInterface
  public interface FirstEventEstimate {
    /** Returns the estimate, or a very long time when nothing can run it now. */
    double micros(String model);
  }

  /** Returns the model to ask first, or nothing where the caller has named it. */
  public Optional<String> first(Demand demand, FirstEventEstimate estimate, long now) {
    List<String> models = demand.route().models();
    if (models.isEmpty()) {
      return Optional.empty();
    }
    String smallest = models.get(0);
    String largest = models.get(models.size() - 1);
    if (models.size() == 1) {
      return Optional.of(largest);
    }
    boolean mayAskAgain = demand.route().isRepeatable() && demand.route().maxSends() > 1;
    double both = estimate.micros(smallest) + estimate.micros(largest);
    if (mayAskAgain && leastConfidence > 0 && now + both <= demand.target()) {
      return Optional.of(smallest);
    }
    return Optional.of(largestInTime(demand, models, estimate, now));
  }

  private static String largestInTime(
      Demand demand, List<String> models, FirstEventEstimate estimate, long now) {
    for (int i = models.size() - 1; i > 0; i--) {
      if (now + estimate.micros(models.get(i)) <= demand.target()) {
        return models.get(i);
      }
    }
    return now > demand.target() ? models.get(models.size() - 1) : models.get(0);
  }

  /**
   * Returns the model to ask instead of passing on an answer, or nothing when the answer goes out.
   *
   * @param confidence opinion of the model on its own answer, 0 to 100
   */
  public Optional<String> larger(
      Demand demand, String model, int confidence, FirstEventEstimate estimate, long now) {
    Route route = demand.route();
    List<String> models = route.models();
    int at = models.indexOf(model);
    if (at < 0 || at == models.size() - 1 || confidence >= leastConfidence) {
      return Optional.empty();
    }
    String largest = models.get(models.size() - 1);
    return now + estimate.micros(largest) <= demand.target()
        ? Optional.of(largest)
        : Optional.empty();
  }
}
