package org.kumquatplank.core.routing;

import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.quality.QualityTracker;

/**
 * Plans queued requests under the current configuration and load.
 *
 * <p>Not thread-safe.
 */
final class Planner {
  /** Part of the time until the first-token deadline after which a request may spill over. */
  private static final double SPILLOVER_WAIT_RATIO = 0.3;

  /** Time reserved for rating the first response of a cascade. */
  private static final double RATING_MICROS = 200_000;

  private final PlanChooser chooser;
  private final TrialBudget trials;
  private final BackendTable backends;
  private final OutputLengthEstimator lengths;
  private Configuration configuration = Configuration.empty();

  Planner(
      QualityTracker quality,
      TrialBudget trials,
      BackendTable backends,
      OutputLengthEstimator lengths) {
    this.chooser = PlanChooser.create(quality, trials);
    this.trials = trials;
    this.backends = backends;
    this.lengths = lengths;
  }

  /**
   * Key of requests with the same plan options: if one of them cannot be sent, none of them can.
   */
  record PlanningKey(
      String workClass, Optional<String> pinned, Set<String> versions, boolean spilloverAllowed) {}

  void setConfiguration(Configuration newConfiguration) {
    configuration = newConfiguration;
  }

  boolean permits(String account, String version) {
    return configuration.permits(account, version);
  }

  PlanningKey planningKeyOf(RoutingRequest request, long now) {
    Set<String> versions =
        configuration.findAccount(request.account()).map(ClientAccount::versions).orElse(Set.of());
    return new PlanningKey(
        request.workClass().name(),
        request.pinnedVersion(),
        versions,
        now >= spilloverTime(request));
  }

  /** Returns the time from which a request may use a more expensive version to avoid waiting. */
  private static long spilloverTime(RoutingRequest request) {
    return request.arrivalMicros()
        + (long) (SPILLOVER_WAIT_RATIO * (request.firstTokenDeadline() - request.arrivalMicros()));
  }

  Optional<Plan> choose(FairQueue.QueuedRequest head, boolean longRequest, long now) {
    RoutingRequest request = head.request();
    boolean cascadeFits = now + head.serviceMicros() + RATING_MICROS < request.firstTokenDeadline();
    double tokens = lengths.predict(request.workClass().name(), request.account());
    Optional<Plan> plan =
        chooser.choose(configuration, request, backends::isServed, tokens, cascadeFits);
    boolean available =
        plan.isPresent() && backends.hasAvailable(plan.get().firstVersion(), longRequest, now);
    boolean pinned = request.pinnedVersion().isPresent();
    if (available || plan.isEmpty() || pinned || now < spilloverTime(request)) {
      return plan;
    }
    // Further queue wait puts the deadline of the first token at risk: use a more expensive version
    // that is available.
    Optional<Plan> spillover =
        chooser.chooseAvailable(
            configuration, request, v -> backends.hasAvailable(v, longRequest, now), tokens);
    spillover.ifPresent(p -> releaseTrial(request, plan.get()));
    return spillover.or(() -> plan);
  }

  void releaseTrial(RoutingRequest request, Plan plan) {
    if (plan instanceof Plan.Single(String version, String reason, boolean trial) && trial) {
      trials.release(request.workClass().name(), version, request.id());
    }
  }

  boolean isServable(RoutingRequest request) {
    return configuration.versions().keySet().stream()
        .filter(v -> request.pinnedVersion().map(v::equals).orElse(true))
        .anyMatch(v -> configuration.permits(request.account(), v));
  }

  static ErrorCode noPlanError(RoutingRequest request) {
    return request.pinnedVersion().isPresent()
        ? ErrorCode.NO_VERSION_ALLOWED
        : ErrorCode.TARGET_UNREACHABLE;
  }
}
