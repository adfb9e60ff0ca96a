package org.kumquatplank.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.config.WorkClass.WhenUnmet;
import org.kumquatplank.core.quality.Assessment;
import org.kumquatplank.core.quality.Assessment.Verdict;
import org.kumquatplank.core.quality.QualityTracker;

/**
 * Chooses the cheapest plan that meets the targets of a work class.
 *
 * <p>Not thread-safe: confined to the control thread, which owns the quality tracker.
 */
public final class PlanChooser {
  private static final double RATING_THRESHOLD_STEP = 0.05;
  private static final double MIN_CASCADE_SAVING_RATIO = 0.05;
  private static final double MIN_CASCADE_RATINGS = 25;

  private final QualityTracker quality;
  private final TrialBudget trials;

  private PlanChooser(QualityTracker quality, TrialBudget trials) {
    this.quality = quality;
    this.trials = trials;
  }

  /**
   * Returns a plan chooser.
   *
   * @param quality the ratings of the versions
   * @param trials the budget for requests to versions of unknown quality
   */
  public static PlanChooser create(QualityTracker quality, TrialBudget trials) {
    return new PlanChooser(quality, trials);
  }

  /** A version with its estimated quality and the expected cost of the request. */
  private record Candidate(ModelVersion version, Assessment assessment, long cost) {
    String name() {
      return version.name();
    }

    boolean hasVerdict(Verdict verdict) {
      return assessment.verdict() == verdict;
    }
  }

  /**
   * Returns the plan for a request, or empty if no version may serve it.
   *
   * @param isServed whether some backend server currently serves the version
   * @param tokens predicted length of the response, in tokens
   * @param cascadeFits whether the deadline leaves time for two responses and a rating
   */
  public Optional<Plan> choose(
      Configuration configuration,
      RoutingRequest request,
      Predicate<String> isServed,
      double tokens,
      boolean cascadeFits) {
    if (request.pinnedVersion().isPresent()) {
      return pinned(configuration, request, request.pinnedVersion().get());
    }
    List<Candidate> candidates = candidates(configuration, request, isServed, tokens);
    // A session binds later requests to the version, which may prove to miss the quality target.
    Optional<Plan> trial = request.stickySession() ? Optional.empty() : trial(request, candidates);
    if (trial.isPresent()) {
      return trial;
    }
    Optional<Candidate> cheapest = cheapestThatMeets(candidates);
    if (cheapest.isPresent()) {
      Plan single = single(cheapest.get());
      Optional<Plan> cascade =
          cascadeFits ? cascade(request.workClass(), candidates, cheapest.get()) : Optional.empty();
      return Optional.of(cascade.orElse(single));
    }
    return fallback(request.workClass(), candidates);
  }

  /**
   * Returns a plan for the cheapest version that meets the target and has an available backend
   * server.
   *
   * @param isAvailable whether some backend server of the version is currently available
   */
  public Optional<Plan> chooseAvailable(
      Configuration configuration,
      RoutingRequest request,
      Predicate<String> isAvailable,
      double tokens) {
    return cheapestThatMeets(candidates(configuration, request, isAvailable, tokens))
        .map(PlanChooser::single);
  }

  private static Optional<Candidate> cheapestThatMeets(List<Candidate> candidates) {
    return candidates.stream()
        .filter(c -> c.hasVerdict(Verdict.MEETS))
        .min(Comparator.comparing(Candidate::cost));
  }

  private static Plan single(Candidate candidate) {
    return new Plan.Single(candidate.name(), "cheapest version that meets the target", false);
  }

  private static Optional<Plan> pinned(
      Configuration configuration, RoutingRequest request, String version) {
    return configuration.permits(request.account(), version)
        ? Optional.of(new Plan.Single(version, "the session keeps its version", false))
        : Optional.empty();
  }

  private List<Candidate> candidates(
      Configuration configuration,
      RoutingRequest request,
      Predicate<String> isServed,
      double tokens) {
    WorkClass workClass = request.workClass();
    return configuration.versions().values().stream()
        .filter(v -> configuration.permits(request.account(), v.name()))
        .filter(v -> isServed.test(v.name()))
        .map(
            v ->
                new Candidate(
                    v,
                    quality.assess(workClass, v.name()),
                    v.costMicros(request.promptTokens(), Math.round(tokens))))
        .filter(c -> c.cost() <= workClass.maxCostMicros())
        .toList();
  }

  /** Selects a cheaper version of unknown quality, within the trial budget. */
  private Optional<Plan> trial(RoutingRequest request, List<Candidate> candidates) {
    long maxCost =
        candidates.stream()
            .filter(c -> c.hasVerdict(Verdict.MEETS))
            .mapToLong(Candidate::cost)
            .min()
            .orElse(Long.MAX_VALUE);
    Optional<Candidate> presumedBest = presumedBest(candidates);
    for (Candidate c : candidates) {
      boolean eligible = c.cost() < maxCost && !presumedBest.equals(Optional.of(c));
      if (eligible && tryAcquire(request, c)) {
        return Optional.of(
            new Plan.Single(c.name(), "trial of a version of unknown quality", true));
      }
    }
    return Optional.empty();
  }

  /**
   * Charges the request to the trial budget of a version.
   *
   * <p>Only the sequential test may end a trial: checking a confidence bound after every rating
   * would end the trial of a good version too often. A version below the bound gets infrequent
   * requests.
   */
  private boolean tryAcquire(RoutingRequest request, Candidate c) {
    return switch (c.assessment().verdict()) {
      case UNKNOWN -> trials.tryAcquire(request.workClass().name(), c.name(), request);
      case FAILS -> trials.tryAcquireProbe(request.workClass().name(), c.name(), request);
      case MEETS, DEMOTED -> false;
    };
  }

  /**
   * Returns the most expensive live version that is not known to miss the target. It is presumed
   * the best as long as there are too few ratings.
   */
  private static Optional<Candidate> presumedBest(List<Candidate> candidates) {
    return candidates.stream()
        .filter(c -> !c.hasVerdict(Verdict.DEMOTED) && !c.hasVerdict(Verdict.FAILS))
        .filter(c -> c.version().stage() == ModelVersion.Stage.LIVE)
        .max(Comparator.comparing(Candidate::cost));
  }

  private static Optional<Plan> fallback(WorkClass workClass, List<Candidate> candidates) {
    Optional<Candidate> presumed = presumedBest(candidates);
    if (presumed.isPresent()) {
      return Optional.of(
          new Plan.Single(presumed.get().name(), "presumed best until ratings tell", false));
    }
    if (workClass.whenUnmet() == WhenUnmet.REFUSE) {
      return Optional.empty();
    }
    return candidates.stream()
        .filter(c -> c.version().stage() == ModelVersion.Stage.LIVE)
        .max(Comparator.comparing(c -> c.assessment().mean()))
        .map(
            c -> new Plan.Single(c.name(), "no version meets the target; the best is used", false));
  }

  /**
   * Returns the cheapest cascade that meets the target and costs less than the best version alone.
   *
   * <p>The cost includes repeating the responses below the rating threshold on the best version. A
   * version that was demoted for missing the target may run first, since its poor responses are
   * rated and not returned to the caller.
   */
  private Optional<Plan> cascade(
      WorkClass workClass, List<Candidate> candidates, Candidate second) {
    Plan cheapestPlan = null;
    double minCost = second.cost() * (1 - MIN_CASCADE_SAVING_RATIO);
    for (Candidate first : candidates) {
      boolean usable =
          first.cost() < second.cost()
              && first.version().stage() == ModelVersion.Stage.LIVE
              && first.assessment().ratingWeight() >= MIN_CASCADE_RATINGS;
      if (!usable) {
        continue;
      }
      for (double threshold = RATING_THRESHOLD_STEP;
          threshold < 1;
          threshold += RATING_THRESHOLD_STEP) {
        double acceptedShare = quality.shareAtLeast(workClass, first.name(), threshold);
        double meanRating =
            acceptedShare * quality.meanOfAtLeast(workClass, first.name(), threshold)
                + (1 - acceptedShare) * second.assessment().lowerBound();
        double cost = first.cost() + (1 - acceptedShare) * second.cost();
        if (meanRating >= workClass.quality() && cost < minCost) {
          minCost = cost;
          cheapestPlan =
              new Plan.Cascade(
                  first.name(),
                  second.name(),
                  threshold,
                  "cheaper in expectation than one version");
        }
      }
    }
    return Optional.ofNullable(cheapestPlan);
  }
}
