package org.kumquatplank.core.routing;

import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.quality.QualityTracker;

/**
 * Plans waiting work under the configuration in force and the load of the moment.
 *
 * <p>Not thread-safe.
 */
final class Planner {
  private static final double SPILL_SHARE = 0.3;
  private static final double JUDGE_MICROS = 200_000;

  private final PlanChooser chooser;
  private final TrialBudget trials;
  private final BackendTable backends;
  private final OutputLengthEstimator lengths;
  private Configuration configuration = Configuration.empty();

  Planner(QualityTracker quality, TrialBudget trials, BackendTable backends, OutputLengthEstimator lengths) {
    this.chooser = PlanChooser.create(quality, trials);
    this.trials = trials;
    this.backends = backends;
    this.lengths = lengths;
  }

  /** Work that is sure to fare alike now: where one can't start, the others need not be tried. */
  record Kind(String workClass, Optional<String> pinned, Set<String> versions, boolean impatient) {}

  void setConfiguration(Configuration newConfiguration) {
    configuration = newConfiguration;
  }

  boolean permits(String account, String version) {
    return configuration.permits(account, version);
  }

  Kind kindOf(RoutingRequest request, long now) {
    Set<String> versions =
        configuration.findAccount(request.account()).map(ClientAccount::versions).orElse(Set.of());
    return new Kind(request.workClass().name(), request.pinned(), versions, now >= spillTime(request));
  }

  private static long spillTime(RoutingRequest request) {
    return request.arrived() + (long) (SPILL_SHARE * (request.firstTokenDeadline() - request.arrived()));
  }

  Optional<Plan> choose(FairQueue.Waiting head, boolean longWork, long now) {
    RoutingRequest request = head.request();
    boolean cascadeFits = now + head.micros() + JUDGE_MICROS < request.firstTokenDeadline();
    double tokens = lengths.predict(request.workClass().name(), request.account());
    Optional<Plan> plan =
        chooser.choose(configuration, request, backends::isServed, tokens, cascadeFits);
    boolean free = plan.isPresent() && backends.hasFree(plan.get().first(), longWork, now);
    boolean keepsVersion = request.pinned().isPresent();
    if (free || plan.isEmpty() || keepsVersion || now < spillTime(request)) {
      return plan;
    }
    // Waiting longer would miss the lateness target: pay for a dearer version that is free.
    Optional<Plan> dearer =
        chooser.chooseFree(configuration, request, v -> backends.hasFree(v, longWork, now), tokens);
    dearer.ifPresent(p -> giveBackTrial(request, plan.get()));
    return dearer.or(() -> plan);
  }

  void giveBackTrial(RoutingRequest request, Plan plan) {
    if (plan instanceof Plan.Single(String version, String reason, boolean trial) && trial) {
      trials.release(request.workClass().name(), version, request.id());
    }
  }

  boolean isServable(RoutingRequest request) {
    return configuration.versions().keySet().stream()
        .filter(v -> request.pinned().map(v::equals).orElse(true))
        .anyMatch(v -> configuration.permits(request.account(), v));
  }

  static ErrorCode whyNoPlan(RoutingRequest request) {
    return request.pinned().isPresent() ? ErrorCode.NO_VERSION_ALLOWED : ErrorCode.TARGET_UNREACHABLE;
  }
}
