package org.kumquatplank.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.kumquatplank.core.membership.Rendezvous;
import org.kumquatplank.core.quality.QualityTracker.Pair;

/**
 * Bounds how many requests without a rating a version of unknown quality may have, over all
 * instances together.
 *
 * <p>The bound is split by rendezvous: an instance gets its part without asking anybody. Not
 * thread-safe.
 */
public final class TrialBudget {
  private static final int UNRATED_OVER_ALL = 12;
  private static final double TRIAL_SHARE = 0.5;
  private static final double MOST_CREDIT = 3;
  private static final long RARE_MICROS = 30_000_000;
  private static final long RATING_WAIT_MICROS = 60_000_000;

  private final String self;
  private final Map<Pair, Map<String, Long>> unrated = new HashMap<>();
  private final Map<String, Double> credits = new HashMap<>();
  private final Map<Pair, Long> nextRare = new HashMap<>();
  private List<String> instances;

  private TrialBudget(String self) {
    this.self = self;
    this.instances = List.of(self);
  }

  /** Returns the budget of one instance. */
  public static TrialBudget create(String self) {
    return new TrialBudget(self);
  }

  /** Sets the identities of all live instances. */
  public void setInstances(Collection<String> live) {
    instances = List.copyOf(live);
  }

  /** Notes a request of the class; trials take at most a part of them. */
  void count(String workClass) {
    credits.merge(workClass, TRIAL_SHARE, (a, b) -> Math.min(MOST_CREDIT, a + b));
  }

  /** Takes one request out of the budget, if there is one left. */
  boolean tryTake(String workClass, String version, RoutingRequest request) {
    Pair pair = new Pair(workClass, version);
    return tryTake(pair, request, share(pair));
  }

  /** Takes one request out of the budget now and then, for a version that seems to fail. */
  boolean tryTakeRarely(String workClass, String version, RoutingRequest request) {
    Pair pair = new Pair(workClass, version);
    boolean due = request.arrived() >= nextRare.getOrDefault(pair, Long.MIN_VALUE);
    boolean taken = due && tryTake(pair, request, Math.min(1, share(pair)));
    if (taken) {
      nextRare.put(pair, request.arrived() + RARE_MICROS);
    }
    return taken;
  }

  private boolean tryTake(Pair pair, RoutingRequest request, int most) {
    Map<String, Long> open = unrated.computeIfAbsent(pair, p -> new HashMap<>());
    dropOverdue(open, request.arrived());
    double credit = credits.getOrDefault(pair.workClass(), 0.0);
    if (open.size() >= most || credit < 1) {
      return false;
    }
    credits.put(pair.workClass(), credit - 1);
    open.put(request.id(), request.arrived() + RATING_WAIT_MICROS);
    return true;
  }

  private int share(Pair pair) {
    int count = Math.max(1, instances.size());
    int even = UNRATED_OVER_ALL / count;
    int rest = UNRATED_OVER_ALL % count;
    int rank = Rendezvous.rank(pair.toString(), instances).indexOf(self);
    return even + (rank >= 0 && rank < rest ? 1 : 0);
  }

  private static void dropOverdue(Map<String, Long> open, long now) {
    Iterator<Long> deadlines = open.values().iterator();
    while (deadlines.hasNext()) {
      if (deadlines.next() < now) {
        deadlines.remove();
      }
    }
  }

  /** Gives a request back: it was rated, or it did not run. */
  public void release(String workClass, String version, String workId) {
    Map<String, Long> open = unrated.get(new Pair(workClass, version));
    if (open != null) {
      open.remove(workId);
    }
  }
}
