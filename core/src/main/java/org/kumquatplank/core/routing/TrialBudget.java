package org.kumquatplank.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.kumquatplank.core.membership.RendezvousHashing;
import org.kumquatplank.core.quality.QualityTracker.Pair;

/**
 * Limits the number of unrated requests to a version of unknown quality, over all instances
 * together.
 *
 * <p>Rendezvous hashing splits the limit among the instances without communication. Not
 * thread-safe.
 */
public final class TrialBudget {
  /** Limit over all instances, per version and work class. */
  private static final int MAX_UNRATED_REQUESTS = 12;

  private static final double TRIAL_RATIO = 0.5;
  private static final double MAX_CREDIT = 3;
  private static final long PROBE_INTERVAL_MICROS = 30_000_000;

  /** Time after which a trial request without a rating no longer counts against the limit. */
  private static final long RATING_TIMEOUT_MICROS = 60_000_000;

  private final String self;
  private final Map<Pair, Map<String, Long>> unrated = new HashMap<>();
  private final Map<String, Double> credits = new HashMap<>();
  private final Map<Pair, Long> nextProbe = new HashMap<>();
  private List<String> instances;

  private TrialBudget(String self) {
    this.self = self;
    this.instances = List.of(self);
  }

  /** Returns the budget of the instance with the given identity. */
  public static TrialBudget create(String self) {
    return new TrialBudget(self);
  }

  /** Sets the identities of all live instances. */
  public void setInstances(Collection<String> live) {
    instances = List.copyOf(live);
  }

  /** Credits the budget for a request of the class; at most half of the requests are trials. */
  void recordRequest(String workClass) {
    credits.merge(workClass, TRIAL_RATIO, (a, b) -> Math.min(MAX_CREDIT, a + b));
  }

  /** Charges one request to the budget and returns whether the budget allowed it. */
  boolean tryAcquire(String workClass, String version, RoutingRequest request) {
    Pair pair = new Pair(workClass, version);
    return tryAcquire(pair, request, ownLimit(pair));
  }

  /**
   * Charges one request to a version that probably misses its target, at most once per probe
   * interval, and returns whether the budget allowed it.
   */
  boolean tryAcquireProbe(String workClass, String version, RoutingRequest request) {
    Pair pair = new Pair(workClass, version);
    boolean due = request.arrivalMicros() >= nextProbe.getOrDefault(pair, Long.MIN_VALUE);
    boolean acquired = due && tryAcquire(pair, request, Math.min(1, ownLimit(pair)));
    if (acquired) {
      nextProbe.put(pair, request.arrivalMicros() + PROBE_INTERVAL_MICROS);
    }
    return acquired;
  }

  private boolean tryAcquire(Pair pair, RoutingRequest request, int limit) {
    Map<String, Long> pending = unrated.computeIfAbsent(pair, p -> new HashMap<>());
    removeExpired(pending, request.arrivalMicros());
    double credit = credits.getOrDefault(pair.workClass(), 0.0);
    if (pending.size() >= limit || credit < 1) {
      return false;
    }
    credits.put(pair.workClass(), credit - 1);
    pending.put(request.id(), request.arrivalMicros() + RATING_TIMEOUT_MICROS);
    return true;
  }

  /** Returns the part of the limit that belongs to this instance. */
  private int ownLimit(Pair pair) {
    int count = Math.max(1, instances.size());
    int quotient = MAX_UNRATED_REQUESTS / count;
    int remainder = MAX_UNRATED_REQUESTS % count;
    // The hash key contains the names of the record and its components. Renaming them splits the
    // limit differently, also among instances of different releases.
    int rank = RendezvousHashing.rank(pair.toString(), instances).indexOf(self);
    return quotient + (rank >= 0 && rank < remainder ? 1 : 0);
  }

  private static void removeExpired(Map<String, Long> pending, long now) {
    Iterator<Long> deadlines = pending.values().iterator();
    while (deadlines.hasNext()) {
      if (deadlines.next() < now) {
        deadlines.remove();
      }
    }
  }

  /** Releases the charge of a request that was rated or did not run. */
  public void release(String workClass, String version, String requestId) {
    Map<String, Long> pending = unrated.get(new Pair(workClass, version));
    if (pending != null) {
      pending.remove(requestId);
    }
  }
}
