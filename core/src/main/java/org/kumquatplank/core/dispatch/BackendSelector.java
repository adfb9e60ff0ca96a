package org.kumquatplank.core.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.catalog.ServiceInfo;

/**
 * Chooses the backend server that is expected to answer a request first.
 *
 * <p>Answers stale load reports, herding of many instances on one idle server, and prompts whose
 * shared parts only some servers hold. Not thread-safe.
 */
public final class BackendSelector {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Round trips and the price of bytes between failure domains of a region, microseconds. */
  private static final double SAME_REGION_MICROS = 6_000;

  /** Round trip and the price of bytes between regions, microseconds. */
  private static final double OTHER_REGION_MICROS = 150_000;

  /** What each request that runs beside adds to the time until the first event. */
  private static final double BESIDE_MICROS = 1_500;

  /** A typical request of a plain service, until answers were seen. */
  private static final double FIRST_WORK_MICROS = 60_000;

  /** What a suspect costs more than any other: used only where there is nothing else. */
  private static final double SUSPECT_MICROS = 20_000_000;

  /** Chance that the server every instance prefers for a part holds it. */
  private static final double PREFERRED_HOLDS = 0.6;

  /** Reading a part again is priced besides the time it takes. */
  private static final double READ_AGAIN_FACTOR = 1.5;

  /** A plain server takes a few more than it runs, so that none of its slots rests. */
  private static final double PLAIN_ROOM = 1.5;

  private final Locality locality;
  private final PrefillRate prefillRate;
  private final PrefixCacheTracker prefixCache = new PrefixCacheTracker();
  private int turn;

  private BackendSelector(Locality locality, PrefillRate prefillRate) {
    this.locality = locality;
    this.prefillRate = prefillRate;
  }

  /** Returns the selector of an instance at that locality. */
  public static BackendSelector create(Locality locality, PrefillRate prefillRate) {
    return new BackendSelector(locality, prefillRate);
  }

  /**
   * A choice.
   *
   * @param backend the backend server
   * @param expectedMicros expected time to the first event or the answer, microseconds
   * @param queueMicros part of that time that goes by before the work is begun, microseconds
   * @param unreadTokens prompt tokens that it is expected to read
   */
  public record Selection(
      BackendState backend, double expectedMicros, double queueMicros, int unreadTokens) {}

  /** What the selection depends on besides the request. */
  public record Constraints(
      ServiceInfo service,
      Optional<String> model,
      VersionRule rule,
      Collection<BackendState> excluded,
      int instances) {}

  /** Returns the best backend server that has room, or nothing. */
  public Optional<Selection> choose(List<BackendState> servers, DispatchRequest request, Constraints constraints, long now) {
    Selection best = null;
    double bestCost = Double.MAX_VALUE;
    // Equal ones take turns, so that instances do not all choose the first idle one.
    turn = (turn + 1) % Math.max(1, servers.size());
    for (int i = 0; i < servers.size(); i++) {
      BackendState state = servers.get((i + turn) % servers.size());
      if (!isPermitted(state, request, constraints) || !hasRoom(state, constraints, now)) {
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

  /** Returns whether any backend server may ever run the request, with room or without. */
  public boolean isServable(List<BackendState> servers, DispatchRequest request, Constraints constraints) {
    return servers.stream().anyMatch(s -> isPermitted(s, request, constraints));
  }

  private static boolean isPermitted(BackendState state, DispatchRequest request, Constraints constraints) {
    return !state.isClosed()
        && !constraints.excluded().contains(state)
        && constraints.rule().permits(state.server(), request);
  }

  private static boolean hasRoom(BackendState state, Constraints constraints, long now) {
    int slots = Math.max(1, state.server().slots());
    int known = state.allRequests(now);
    int connectionShare = constraints.service().connectionLimit() / Math.max(1, constraints.instances());
    if (state.requests() >= Math.max(1, connectionShare)) {
      return false;
    }
    return constraints.service().isEngine() ? known < slots : known < Math.ceil(slots * PLAIN_ROOM);
  }

  private Selection estimate(
      BackendState state, List<BackendState> servers, DispatchRequest request, Constraints constraints, long now) {
    double distance =
        switch (locality.to(state.server().zone())) {
          case SAME_ZONE -> 0;
          case SAME_REGION -> SAME_REGION_MICROS;
          case OTHER_REGION -> OTHER_REGION_MICROS;
        };
    double slowness = state.slowness(now);
    int known = state.allRequests(now);
    if (!constraints.service().isEngine()) {
      int slots = Math.max(1, state.server().slots());
      double inQueue = Math.max(0, known + 1 - slots) / (double) slots;
      double busy = (double) known / slots;
      double micros = FIRST_WORK_MICROS * slowness * (1 + inQueue + 0.1 * busy) + distance;
      return new Selection(state, micros, FIRST_WORK_MICROS * slowness * inQueue, 0);
    }
    String model = constraints.model().orElse("");
    int unread = unreadTokens(state, servers, request, model, now);
    double tokenMicros = prefillRate.of(model) * slowness;
    double queued = state.allUnreadTokens(now) * tokenMicros;
    double own = unread * tokenMicros;
    double ahead = queued + known * BESIDE_MICROS * slowness;
    return new Selection(state, ahead + own + distance, ahead, unread);
  }

  private double cost(Selection selection, BackendState state, DispatchRequest request, long now) {
    double readAgain = Math.max(0, selection.unreadTokens() - ownTokens(request));
    double cost = selection.expectedMicros() + readAgain * READ_AGAIN_FACTOR * MICROS_PER_MILLI / 100;
    return state.isSuspect(now) ? cost + SUSPECT_MICROS : cost;
  }

  private static int ownTokens(DispatchRequest request) {
    return Math.max(0, request.promptTokens() - request.sharedTokens());
  }

  private int unreadTokens(
      BackendState state, List<BackendState> servers, DispatchRequest request, String model, long now) {
    if (request.sharedPart().isEmpty()) {
      return request.promptTokens();
    }
    String part = request.sharedPart().get().id();
    String id = state.server().id();
    if (prefixCache.holds(id, model, part, now)) {
      return ownTokens(request);
    }
    boolean preferred = preferred(servers, part).map(id::equals).orElse(false);
    return preferred
        ? (int) (ownTokens(request) + (1 - PREFERRED_HOLDS) * request.sharedTokens())
        : request.promptTokens();
  }

  /** Returns the server that all instances of this region prefer for a part. */
  private Optional<String> preferred(List<BackendState> servers, String part) {
    String best = null;
    long bestWeight = Long.MIN_VALUE;
    for (BackendState state : servers) {
      boolean near = locality.to(state.server().zone()) != Locality.Distance.OTHER_REGION;
      if (state.isClosed() || !near) {
        continue;
      }
      long weight = weight(state.server().id(), part);
      if (weight > bestWeight) {
        best = state.server().id();
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  private static long weight(String id, String part) {
    long h = id.hashCode() * 0x9E3779B97F4A7C15L + part.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }

  /** Notes that a request was sent: its shared part will be held there. */
  public void sent(Selection selection, DispatchRequest request, Optional<String> model, long now) {
    String id = selection.backend().server().id();
    request.sharedPart().ifPresent(p -> prefixCache.used(id, model.orElse(""), p.id(), now));
  }

  /** Notes the first event of a request that was alone in the queue of its engine. */
  public void firstEvent(Selection selection, Optional<String> model, long micros) {
    prefillRate.observe(model.orElse(""), selection.unreadTokens(), micros);
  }
}
