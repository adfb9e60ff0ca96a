package org.kumquatplank.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Usual time of the responses of each route and model, with which the responses of a version on
 * trial are compared.
 *
 * <p>Answers a new version whose responses take several times as long, so that few of them are
 * complete before the trial ends. Not thread-safe.
 */
public final class UsualPace {
  /** Multiple of the usual time from which a response is slow. */
  private static final double SLOW_FACTOR = 2;

  /** Responses without which the usual time is not known. */
  private static final int MIN_SAMPLES = 3;

  /** Responses over which the usual time is averaged, so that it follows the load. */
  private static final int AVERAGED_SAMPLES = 20;

  private final Map<Work, Average> averages = new HashMap<>();

  private UsualPace() {}

  /** Returns an empty instance. */
  public static UsualPace create() {
    return new UsualPace();
  }

  /**
   * Requests that take about the same time.
   *
   * @param route name of the route
   * @param model model that serves the request, nothing for a plain service
   */
  public record Work(String route, Optional<String> model) {}

  private record Average(double millis, double millisPerUnit, int samples) {
    Average with(double sampleMillis, double samplePerUnit) {
      double weight = 1.0 / Math.min(samples + 1, AVERAGED_SAMPLES);
      return new Average(
          millis + weight * (sampleMillis - millis),
          millisPerUnit + weight * (samplePerUnit - millisPerUnit),
          samples + 1);
    }
  }

  /**
   * Records a complete response of a version that is not on trial.
   *
   * @param millis time from the send to the end of the response, milliseconds
   * @param units number of units of output
   */
  public void record(Work work, double millis, int units) {
    averages.merge(
        work,
        new Average(millis, millis / units, 1),
        (average, first) -> average.with(first.millis(), first.millisPerUnit()));
  }

  /** Returns whether a complete response took much more time per unit of output than usual. */
  public boolean isSlow(Work work, double millis, int units) {
    return usual(work)
        .filter(usual -> millis / units > SLOW_FACTOR * usual.millisPerUnit())
        .isPresent();
  }

  /**
   * Returns whether an incomplete response has taken much more time than a complete one usually
   * does, and not only since it is long.
   *
   * @param millis time since the send, milliseconds
   * @param units number of units of output so far
   */
  public boolean isOverdue(Work work, double millis, int units) {
    return isSlow(work, millis, Math.max(1, units))
        && usual(work).filter(usual -> millis > SLOW_FACTOR * usual.millis()).isPresent();
  }

  private Optional<Average> usual(Work work) {
    return Optional.ofNullable(averages.get(work)).filter(a -> a.samples() >= MIN_SAMPLES);
  }
}
