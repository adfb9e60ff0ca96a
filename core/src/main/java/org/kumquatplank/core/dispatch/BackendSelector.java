package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.pace.PaceTracker;
import org.kumquatplank.core.placement.Placement;
import org.kumquatplank.core.placement.PlacementRules;

/**
 * Selects the backend server with the lowest expected latency for a request.
 *
 * <p>Tolerates stale load reports, keeps many instances from choosing the same idle server, and
 * prefers servers whose prefix cache holds the shared prompt prefix. Not thread-safe.
 */
public final class BackendSelector {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Cost of round trips and traffic between failure domains of a region, microseconds. */
  private static final double SAME_REGION_COST_MICROS = 6_000;

  /** Cost of round trips and traffic between regions, microseconds. */
  private static final double OTHER_REGION_COST_MICROS = 150_000;

  /** Time that each concurrent request adds to the time to first token, microseconds. */
  private static final double PER_IN_FLIGHT_REQUEST_MICROS = 1_500;

  /** Service time assumed for a request to a plain service at normal speed, microseconds. */
  private static final double PLAIN_REQUEST_MICROS = 60_000;

  /** Added cost of a suspect server, which is selected only if there is no other, microseconds. */
  private static final double SUSPECT_PENALTY_MICROS = 20_000_000;

  /** Added cost of a cold server, which is slow; it is selected if the others have no room. */
  private static final double COLD_PENALTY_MICROS = 5_000_000;

  /** Added cost of a server with as many requests as it takes well, as far as is learned. */
  private static final double LEARNED_LIMIT_PENALTY_MICROS = OTHER_REGION_COST_MICROS;

  /** Probability that the server that all instances prefer for a prefix has it cached. */
  private static final double PREFERRED_HIT_RATIO = 0.6;

  /** Weight of a repeated prefill of a shared prefix, in addition to the time that it takes. */
  private static final double REPEATED_PREFILL_FACTOR = 1.5;

  /** Requests admitted per slot of a plain server; more than 1, so that no slot is idle. */
  private static final double PLAIN_OVERCOMMIT_RATIO = 1.5;

  private final Locality locality;
  private final PrefillRate prefillRate;
  private final PaceTracker paceTracker = PaceTracker.create();
  private final PrefixCacheTracker prefixCache = new PrefixCacheTracker();
  private int rotation;

  private BackendSelector(Locality locality, PrefillRate prefillRate) {
    this.locality = locality;
    this.prefillRate = prefillRate;
  }

  /** Returns a selector for an instance at the given locality. */
  public static BackendSelector create(Locality locality, PrefillRate prefillRate) {
    return new BackendSelector(locality, prefillRate);
  }

  /**
   * A selected backend server and the latency that is expected there.
   *
   * @param backend state of the selected backend server
   * @param expectedLatencyMicros expected time to the first event or the response, microseconds
   * @param queueWaitMicros queue wait within that time, microseconds
   * @param prefillTokens prompt tokens that are expected to need prefill
   * @param usualMicros time expected of a usual server at the same load, without distance
   */
  public record Selection(
      BackendState backend,
      double expectedLatencyMicros,
      double queueWaitMicros,
      int prefillTokens,
      double usualMicros) {}

  /**
   * Constraints of a selection besides the request.
   *
   * @param service service that runs the request
   * @param model model to run, or nothing for a plain service
   * @param rule software versions that may get the request
   * @param placement failure domains whose servers may get the request
   * @param excluded backend servers that may not get the request
   * @param instanceCount number of live instances, which share the connection limit
   */
  public record Constraints(
      ServiceInfo service,
      Optional<String> model,
      VersionRule rule,
      Placement placement,
      Collection<BackendState> excluded,
      int instanceCount) {}

  /** Returns the backend server with the lowest cost that has capacity, or nothing. */
  public Optional<Selection> select(
      List<BackendState> servers, DispatchRequest request, Constraints constraints, long now) {
    Selection best = null;
    double bestCost = Double.MAX_VALUE;
    // Rotates the order, so that instances do not all choose the first of several idle servers.
    rotation = (rotation + 1) % Math.max(1, servers.size());
    for (int i = 0; i < servers.size(); i++) {
      BackendState state = servers.get((i + rotation) % servers.size());
      if (!isEligible(state, request, constraints) || !hasCapacity(state, constraints, now)) {
        continue;
      }
      Selection selection = estimate(state, servers, request, constraints, now);
      double cost = cost(selection, state, request, now);
      if (cost < bestCost) {
        best = selection;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether any backend server may run the request, regardless of current capacity. */
  public boolean isServable(
      List<BackendState> servers, DispatchRequest request, Constraints constraints) {
    return servers.stream().anyMatch(s -> isEligible(s, request, constraints));
  }

  /**
   * Returns whether all servers that may run the request are cold, and this instance may send none
   * of them anything before a time.
   */
  public boolean isWithheld(
      List<BackendState> servers, DispatchRequest request, Constraints constraints, long until) {
    for (BackendState state : servers) {
      if (isEligible(state, request, constraints) && state.coldServer().opensAt() <= until) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the time until which all servers that may run the request want nothing from this
   * instance, microseconds, or nothing if one of them takes requests.
   */
  public OptionalLong opensAt(
      List<BackendState> servers, DispatchRequest request, Constraints constraints, long now) {
    return servers.stream()
        .filter(s -> isEligible(s, request, constraints))
        .mapToLong(BackendState::opensAt)
        .min()
        .stream()
        .filter(opensAt -> opensAt > now)
        .findAny();
  }

  /**
   * Returns why no backend server may run the request, if its placement is the reason: servers that
   * are up and of a permitted version are all where it may not be served.
   */
  public Optional<PlacementRules.Refusal> placementRefusal(
      List<BackendState> servers, DispatchRequest request, Constraints constraints) {
    List<BackendServer> usable = new ArrayList<>();
    for (BackendState state : servers) {
      if (isUsable(state, request, constraints)) {
        usable.add(state.server());
      }
    }
    return constraints.placement().refusal(usable);
  }

  private static boolean isEligible(
      BackendState state, DispatchRequest request, Constraints constraints) {
    return isUsable(state, request, constraints) && constraints.placement().permits(state.server());
  }

  private static boolean isUsable(
      BackendState state, DispatchRequest request, Constraints constraints) {
    return !state.isClosed()
        && !constraints.excluded().contains(state)
        && constraints.rule().permits(state.server(), request);
  }

  private static boolean hasCapacity(BackendState state, Constraints constraints, long now) {
    if (!state.takesAnother(now) || !state.isWithinRequestLimit(constraints.instanceCount(), now)) {
      return false;
    }
    int slots = Math.max(1, state.server().slots());
    int inFlight = state.totalInFlightRequests(now);
    int connectionShare =
        constraints.service().connectionLimit() / Math.max(1, constraints.instanceCount());
    if (state.inFlightRequests() >= Math.max(1, connectionShare)) {
      return false;
    }
    return constraints.service().isEngine()
        ? inFlight < slots
        : inFlight < Math.ceil(slots * PLAIN_OVERCOMMIT_RATIO);
  }

  private Selection estimate(
      BackendState state,
      List<BackendState> servers,
      DispatchRequest request,
      Constraints constraints,
      long now) {
    double distanceMicros =
        switch (locality.distanceTo(state.server().failureDomain())) {
          case SAME_ZONE -> 0;
          case SAME_REGION -> SAME_REGION_COST_MICROS;
          case OTHER_REGION -> OTHER_REGION_COST_MICROS;
        };
    double slowdown = state.slowdownFactor(now);
    int inFlight = state.totalInFlightRequests(now);
    if (!constraints.service().isEngine()) {
      int slots = Math.max(1, state.server().slots());
      double queuedPerSlot = Math.max(0, inFlight + 1 - slots) / (double) slots;
      double utilization = (double) inFlight / slots;
      double usualMicros = PLAIN_REQUEST_MICROS * (1 + queuedPerSlot + 0.1 * utilization);
      return new Selection(
          state,
          usualMicros * slowdown + distanceMicros,
          PLAIN_REQUEST_MICROS * slowdown * queuedPerSlot,
          0,
          usualMicros);
    }
    String model = constraints.model().orElse("");
    int tokens = prefillTokens(state, servers, request, constraints, now);
    double microsPerToken = prefillRate.microsPerToken(model) * slowdown;
    double pendingPrefillMicros = state.totalPendingPrefillTokens(now) * microsPerToken;
    double prefillMicros = tokens * microsPerToken;
    double queueWaitMicros =
        pendingPrefillMicros + inFlight * PER_IN_FLIGHT_REQUEST_MICROS * slowdown;
    return new Selection(
        state,
        queueWaitMicros + prefillMicros + distanceMicros,
        queueWaitMicros,
        tokens,
        (queueWaitMicros + prefillMicros) / slowdown);
  }

  private double cost(Selection selection, BackendState state, DispatchRequest request, long now) {
    double repeatedTokens = Math.max(0, selection.prefillTokens() - unsharedTokens(request));
    double cost =
        selection.expectedLatencyMicros()
            + repeatedTokens * REPEATED_PREFILL_FACTOR * MICROS_PER_MILLI / 100;
    if (state.coldServer().isCold(now)) {
      cost += COLD_PENALTY_MICROS;
    }
    double learned = state.learnedSlowdown(now);
    if (learned != 1) {
      double need = paceTracker.needOfSlowServers(request.service());
      cost = Math.max(0, cost - need * (learned - 1) * selection.usualMicros());
    }
    if (state.isAtLearnedLimit(now)) {
      cost += LEARNED_LIMIT_PENALTY_MICROS;
    }
    return state.isSuspect(now) ? cost + SUSPECT_PENALTY_MICROS : cost;
  }

  private static int unsharedTokens(DispatchRequest request) {
    return Math.max(0, request.promptTokens() - request.sharedPrefixTokens());
  }

  private int prefillTokens(
      BackendState state,
      List<BackendState> servers,
      DispatchRequest request,
      Constraints constraints,
      long now) {
    if (request.lastSharedSegment().isEmpty()) {
      return request.promptTokens();
    }
    String prefixId = request.lastSharedSegment().get().id();
    String id = state.server().id();
    if (prefixCache.isCached(id, constraints.model().orElse(""), prefixId, now)) {
      return unsharedTokens(request);
    }
    boolean isPreferred =
        preferredServer(servers, prefixId, constraints.placement()).map(id::equals).orElse(false);
    return isPreferred
        ? (int) (unsharedTokens(request) + (1 - PREFERRED_HIT_RATIO) * request.sharedPrefixTokens())
        : request.promptTokens();
  }

  /** Returns the id of the server that all instances of this region prefer for a prefix. */
  private Optional<String> preferredServer(
      List<BackendState> servers, String prefixId, Placement placement) {
    String best = null;
    long bestWeight = Long.MIN_VALUE;
    for (BackendState state : servers) {
      boolean inRegion =
          locality.distanceTo(state.server().failureDomain()) != Locality.Distance.OTHER_REGION;
      if (state.isClosed() || !inRegion || !placement.permits(state.server())) {
        continue;
      }
      long weight = weight(state.server().id(), prefixId);
      if (weight > bestWeight) {
        best = state.server().id();
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  private static long weight(String id, String prefixId) {
    long h = id.hashCode() * 0x9E3779B97F4A7C15L + prefixId.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }

  /** Records a send; the prefix cache of the backend server then holds the shared prefix. */
  public void recordSend(
      Selection selection, DispatchRequest request, Constraints constraints, long now) {
    String id = selection.backend().server().id();
    selection.backend().countAgainstRequestLimit(constraints.instanceCount(), now);
    selection.backend().coldServer().recordSend(now);
    request
        .lastSharedSegment()
        .ifPresent(
            segment ->
                prefixCache.recordUse(id, constraints.model().orElse(""), segment.id(), now));
  }

  /**
   * Records the first event of a request that was the only one in the queue of its engine.
   *
   * @param micros time from the send to the first event, microseconds
   */
  public void recordFirstEvent(Selection selection, Optional<String> model, long micros) {
    prefillRate.recordPrefill(model.orElse(""), selection.prefillTokens(), micros);
  }

  /**
   * Records how long a warm backend server took for the first event or the response.
   *
   * @param micros time since the send, microseconds
   */
  public void recordPace(
      Selection selection, DispatchRequest request, Optional<String> model, long micros, long now) {
    BackendState state = selection.backend();
    Optional<LoadReport> report = state.freshLoadReport(now);
    double reported = report.map(LoadReport::slowdownFactor).orElse(1.0);
    int requests = report.map(r -> r.running() + r.queued()).orElse(state.concurrentRequests(now));
    paceTracker.record(
        state.pace(),
        new PaceTracker.Sample(
            request.service(),
            model,
            selection.usualMicros(),
            micros - state.roundTripMicros(),
            requests,
            state.server().slots(),
            reported),
        now);
  }
}
