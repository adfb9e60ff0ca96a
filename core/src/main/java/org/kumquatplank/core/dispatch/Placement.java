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
public final class Placement {
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

  private final Place place;
  private final ReadingSpeed speed;
  private final PromptMemory memory = new PromptMemory();
  private int turn;

  private Placement(Place place, ReadingSpeed speed) {
    this.place = place;
    this.speed = speed;
  }

  /** Returns the choice for an instance at that place. */
  public static Placement create(Place place, ReadingSpeed speed) {
    return new Placement(place, speed);
  }

  /**
   * A choice.
   *
   * @param backend the backend server
   * @param expectedMicros expected time to the first event or the answer, microseconds
   * @param queueMicros part of that time that goes by before the work is begun, microseconds
   * @param unreadTokens prompt tokens that it is expected to read
   */
  public record Choice(
      BackendState backend, double expectedMicros, double queueMicros, int unreadTokens) {}

  /** What the choice depends on besides the demand. */
  public record Terms(
      ServiceInfo service,
      Optional<String> model,
      VersionRule rule,
      Collection<BackendState> excluded,
      int instances) {}

  /** Returns the best backend server that has room, or nothing. */
  public Optional<Choice> choose(List<BackendState> servers, Demand demand, Terms terms, long now) {
    Choice best = null;
    double bestCost = Double.MAX_VALUE;
    // Equal ones take turns, so that instances do not all choose the first idle one.
    turn = (turn + 1) % Math.max(1, servers.size());
    for (int i = 0; i < servers.size(); i++) {
      BackendState state = servers.get((i + turn) % servers.size());
      if (!isPermitted(state, demand, terms) || !hasRoom(state, terms, now)) {
        continue;
      }
      Choice choice = estimate(state, servers, demand, terms, now);
      double cost = cost(choice, state, demand, now);
      if (cost < bestCost) {
        best = choice;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether any backend server may ever run the request, with room or without. */
  public boolean isServable(List<BackendState> servers, Demand demand, Terms terms) {
    return servers.stream().anyMatch(s -> isPermitted(s, demand, terms));
  }

  private static boolean isPermitted(BackendState state, Demand demand, Terms terms) {
    return !state.isClosed()
        && !terms.excluded().contains(state)
        && terms.rule().permits(state.server(), demand);
  }

  private static boolean hasRoom(BackendState state, Terms terms, long now) {
    int slots = Math.max(1, state.server().slots());
    int known = state.allRequests(now);
    int connectionShare = terms.service().connectionLimit() / Math.max(1, terms.instances());
    if (state.requests() >= Math.max(1, connectionShare)) {
      return false;
    }
    return terms.service().isEngine() ? known < slots : known < Math.ceil(slots * PLAIN_ROOM);
  }

  private Choice estimate(
      BackendState state, List<BackendState> servers, Demand demand, Terms terms, long now) {
    double distance =
        switch (place.to(state.server().zone())) {
          case SAME_ZONE -> 0;
          case SAME_REGION -> SAME_REGION_MICROS;
          case OTHER_REGION -> OTHER_REGION_MICROS;
        };
    double slowness = state.slowness(now);
    int known = state.allRequests(now);
    if (!terms.service().isEngine()) {
      int slots = Math.max(1, state.server().slots());
      double inQueue = Math.max(0, known + 1 - slots) / (double) slots;
      double busy = (double) known / slots;
      double micros = FIRST_WORK_MICROS * slowness * (1 + inQueue + 0.1 * busy) + distance;
      return new Choice(state, micros, FIRST_WORK_MICROS * slowness * inQueue, 0);
    }
    String model = terms.model().orElse("");
    int unread = unreadTokens(state, servers, demand, model, now);
    double tokenMicros = speed.of(model) * slowness;
    double queued = state.allUnreadTokens(now) * tokenMicros;
    double own = unread * tokenMicros;
    double ahead = queued + known * BESIDE_MICROS * slowness;
    return new Choice(state, ahead + own + distance, ahead, unread);
  }

  private double cost(Choice choice, BackendState state, Demand demand, long now) {
    double readAgain = Math.max(0, choice.unreadTokens() - ownTokens(demand));
    double cost = choice.expectedMicros() + readAgain * READ_AGAIN_FACTOR * MICROS_PER_MILLI / 100;
    return state.isSuspect(now) ? cost + SUSPECT_MICROS : cost;
  }

  private static int ownTokens(Demand demand) {
    return Math.max(0, demand.promptTokens() - demand.sharedTokens());
  }

  private int unreadTokens(
      BackendState state, List<BackendState> servers, Demand demand, String model, long now) {
    if (demand.sharedPart().isEmpty()) {
      return demand.promptTokens();
    }
    String part = demand.sharedPart().get().id();
    String id = state.server().id();
    if (memory.holds(id, model, part, now)) {
      return ownTokens(demand);
    }
    boolean preferred = preferred(servers, part).map(id::equals).orElse(false);
    return preferred
        ? (int) (ownTokens(demand) + (1 - PREFERRED_HOLDS) * demand.sharedTokens())
        : demand.promptTokens();
  }

  /** Returns the server that all instances of this region prefer for a part. */
  private Optional<String> preferred(List<BackendState> servers, String part) {
    String best = null;
    long bestWeight = Long.MIN_VALUE;
    for (BackendState state : servers) {
      boolean near = place.to(state.server().zone()) != Place.Distance.OTHER_REGION;
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
  public void sent(Choice choice, Demand demand, Optional<String> model, long now) {
    String id = choice.backend().server().id();
    demand.sharedPart().ifPresent(p -> memory.used(id, model.orElse(""), p.id(), now));
  }

  /** Notes the first event of a request that was alone in the queue of its engine. */
  public void firstEvent(Choice choice, Optional<String> model, long micros) {
    speed.observe(model.orElse(""), choice.unreadTokens(), micros);
  }
}
