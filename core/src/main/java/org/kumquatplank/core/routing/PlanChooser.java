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
 * Chooses the cheapest plan that meets the targets of a class.
 *
 * <p>Not thread-safe: reads the quality tracker of the control thread.
 */
public final class PlanChooser {
  private static final double THRESHOLD_STEP = 0.05;
  private static final double LEAST_CASCADE_SAVING = 0.05;
  private static final double CASCADE_EVIDENCE = 25;

  private final QualityTracker quality;
  private final TrialBudget trials;

  private PlanChooser(QualityTracker quality, TrialBudget trials) {
    this.quality = quality;
    this.trials = trials;
  }

  /** Returns a chooser over that evidence. */
  public static PlanChooser create(QualityTracker quality, TrialBudget trials) {
    return new PlanChooser(quality, trials);
  }

  /** A version with what is believed of it and what a request would cost on it. */
  private record Candidate(ModelVersion version, Assessment assessment, long cost) {
    String name() {
      return version.name();
    }

    boolean is(Verdict verdict) {
      return assessment.verdict() == verdict;
    }
  }

  /**
   * Returns the plan for a request, or nothing when no version may serve it.
   *
   * @param serveable tells whether some backend server serves the version now
   * @param tokens predicted length of the answer
   * @param cascadeFits whether the time allows two answers and a judgement
   */
  public Optional<Plan> choose(
      Configuration configuration,
      RoutingRequest request,
      Predicate<String> serveable,
      double tokens,
      boolean cascadeFits) {
    if (request.pinned().isPresent()) {
      return pinned(configuration, request, request.pinned().get());
    }
    List<Candidate> candidates = candidates(configuration, request, serveable, tokens);
    // A session would hold its caller to a version that may turn out bad.
    Optional<Plan> trial = request.session() ? Optional.empty() : trial(request, candidates);
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
   * Returns a plan on the cheapest version that meets the target among those with a free engine.
   *
   * @param free tells whether some engine of the version is free now
   */
  public Optional<Plan> chooseFree(
      Configuration configuration, RoutingRequest request, Predicate<String> free, double tokens) {
    return cheapestThatMeets(candidates(configuration, request, free, tokens))
        .map(PlanChooser::single);
  }

  private static Optional<Candidate> cheapestThatMeets(List<Candidate> candidates) {
    return candidates.stream()
        .filter(c -> c.is(Verdict.MEETS))
        .min(Comparator.comparing(Candidate::cost));
  }

  private static Plan single(Candidate candidate) {
    return new Plan.Single(candidate.name(), "cheapest version that meets the target", false);
  }

  private static Optional<Plan> pinned(Configuration configuration, RoutingRequest request, String version) {
    return configuration.permits(request.account(), version)
        ? Optional.of(new Plan.Single(version, "the session keeps its version", false))
        : Optional.empty();
  }

  private List<Candidate> candidates(
      Configuration configuration, RoutingRequest request, Predicate<String> serveable, double tokens) {
    WorkClass workClass = request.workClass();
    return configuration.versions().values().stream()
        .filter(v -> configuration.permits(request.account(), v.name()))
        .filter(v -> serveable.test(v.name()))
        .map(
            v ->
                new Candidate(
                    v,
                    quality.assess(workClass, v.name()),
                    v.costMicros(request.promptTokens(), Math.round(tokens))))
        .filter(c -> c.cost() <= workClass.maxCostMicros())
        .toList();
  }

  /** Sends a bounded number of requests to versions of unknown quality that would be cheaper. */
  private Optional<Plan> trial(RoutingRequest request, List<Candidate> candidates) {
    long bound =
        candidates.stream()
            .filter(c -> c.is(Verdict.MEETS))
            .mapToLong(Candidate::cost)
            .min()
            .orElse(Long.MAX_VALUE);
    Optional<Candidate> incumbent = presumedBest(candidates);
    for (Candidate c : candidates) {
      boolean worthKnowing = c.cost() < bound && !incumbent.equals(Optional.of(c));
      if (worthKnowing && tryTake(request, c)) {
        return Optional.of(
            new Plan.Single(c.name(), "trial of a version of unknown quality", true));
      }
    }
    return Optional.empty();
  }

  /**
   * Only the sequential test may end a trial: a glance at a bound would end that of a good version
   * too often. A version that seems to fail gets a request now and then.
   */
  private boolean tryTake(RoutingRequest request, Candidate c) {
    return switch (c.assessment().verdict()) {
      case UNKNOWN -> trials.tryTake(request.workClass().name(), c.name(), request);
      case FAILS -> trials.tryTakeRarely(request.workClass().name(), c.name(), request);
      case MEETS, DEMOTED -> false;
    };
  }

  /** Without evidence, the dearest established version is presumed the best. */
  private static Optional<Candidate> presumedBest(List<Candidate> candidates) {
    return candidates.stream()
        .filter(c -> !c.is(Verdict.DEMOTED) && !c.is(Verdict.FAILS))
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
   * Looks for a cheap version whose poor answers, judged and redone, still cost less.
   *
   * <p>A version that was demoted for missing the target by itself may serve here: the judge keeps
   * its poor answers from the callers.
   */
  private Optional<Plan> cascade(WorkClass workClass, List<Candidate> candidates, Candidate best) {
    Plan found = null;
    double lowest = best.cost() * (1 - LEAST_CASCADE_SAVING);
    for (Candidate cheap : candidates) {
      boolean usable =
          cheap.cost() < best.cost()
              && cheap.version().stage() == ModelVersion.Stage.LIVE
              && cheap.assessment().weight() >= CASCADE_EVIDENCE;
      if (!usable) {
        continue;
      }
      for (double threshold = THRESHOLD_STEP; threshold < 1; threshold += THRESHOLD_STEP) {
        double kept = quality.shareFrom(workClass, cheap.name(), threshold);
        double mean =
            kept * quality.meanFrom(workClass, cheap.name(), threshold)
                + (1 - kept) * best.assessment().lower();
        double cost = cheap.cost() + (1 - kept) * best.cost();
        if (mean >= workClass.quality() && cost < lowest) {
          lowest = cost;
          found =
              new Plan.Cascade(
                  cheap.name(), best.name(), threshold, "cheaper in expectation than one version");
        }
      }
    }
    return Optional.ofNullable(found);
  }
}
