package org.kumquatplank.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * Requests that wait for room at the backend servers of one service.
 *
 * <p>Answers a burst of one kind, a hot account and large prompts beside small ones. Order: the
 * more urgent priority; requests that can still meet their latency target before those that are
 * late, which get each fourth start; then equal work for accounts and, within them, for routes;
 * then age. Requests that no server takes do not hold up those that may run elsewhere. Starting,
 * adding and removing cost the same however many requests wait. Not thread-safe.
 *
 * @param <T> queued item
 */
public final class WaitingRequests<T> {
  /** Failed starts after which no room is assumed for the rest of a lane. */
  private static final int MAX_FAILED_STARTS = 3;

  /** Each so many starts, one is given to the requests that are late already. */
  private static final int STARTS_PER_LATE_START = 4;

  private static final int MAX_FLOWS_PER_ROUND = 256;

  /** Removed entries that are kept until their latest start, besides as many as wait. */
  private static final int MAX_REMOVED_ENTRIES = 64;

  private final TreeMap<Integer, Level<T>> levels = new TreeMap<>();
  private final Map<T, Waiting<T>> entries = new HashMap<>();
  private final Map<Lane, TreeMap<Integer, Integer>> countByLane = new HashMap<>();
  private final PriorityQueue<Waiting<T>> byLatestStart =
      new PriorityQueue<>(Comparator.comparingLong(Waiting::latestStart));

  private final Supplier<VersionRule> versionRule;

  private WaitingRequests(Supplier<VersionRule> versionRule) {
    this.versionRule = versionRule;
  }

  /** Returns an empty queue of a service whose versions all get any request. */
  public static <T> WaitingRequests<T> create() {
    return create(VersionRule.Any::new);
  }

  /**
   * Returns an empty queue.
   *
   * @param versionRule returns the rule in force for the versions of the service
   */
  public static <T> WaitingRequests<T> create(Supplier<VersionRule> versionRule) {
    return new WaitingRequests<>(versionRule);
  }

  private Lane laneOf(DispatchRequest request, boolean repeated) {
    return Lane.of(request, repeated, versionRule.get());
  }

  /** The requests of one priority. */
  private static final class Level<T> {
    private final FairTier<T> inTime = new FairTier<>();
    private final FairTier<T> late = new FairTier<>();
    private int startsSinceLate;
  }

  /**
   * Adds a request.
   *
   * @param repeated whether the request was sent before
   * @param latestStart time after which a start is of no use, microseconds
   */
  public void add(DispatchRequest request, T item, boolean repeated, long latestStart) {
    Waiting<T> entry = new Waiting<>(request, item, laneOf(request, repeated), latestStart);
    entries.put(item, entry);
    byLatestStart.add(entry);
    levels.computeIfAbsent(request.priority(), p -> new Level<>()).inTime.add(entry);
    count(entry);
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return entries.size();
  }

  /** Returns the number of requests that are kept, those included that have been removed. */
  int retainedCount() {
    return byLatestStart.size();
  }

  /** Returns whether a request that may run on the same servers waits and is no less urgent. */
  public boolean hasAhead(DispatchRequest request, boolean repeated) {
    TreeMap<Integer, Integer> counts = countByLane.get(laneOf(request, repeated));
    return counts != null && !counts.headMap(request.priority(), true).isEmpty();
  }

  /** Returns about how many requests would start before a new one. */
  public int countAhead(DispatchRequest request, boolean repeated) {
    int ahead = 0;
    for (Map.Entry<Integer, Level<T>> level : levels.headMap(request.priority()).entrySet()) {
      ahead += level.getValue().inTime.size() + level.getValue().late.size();
    }
    Level<T> own = levels.get(request.priority());
    Waiting<T> entry = new Waiting<>(request, null, laneOf(request, repeated), 0);
    return own == null ? ahead : ahead + own.inTime.countAhead(entry);
  }

  /** Removes an item, if present. */
  public void remove(T item) {
    Waiting<T> entry = entries.get(item);
    if (entry == null) {
      return;
    }
    Level<T> level = levels.get(entry.request().priority());
    (entry.isLate() ? level.late : level.inTime).forget();
    drop(entry);
  }

  private void restore(Waiting<T> entry) {
    entries.put(entry.item(), entry);
    entry.setRemoved(false);
    count(entry);
  }

  private void count(Waiting<T> entry) {
    countByLane
        .computeIfAbsent(entry.lane(), l -> new TreeMap<>())
        .merge(entry.request().priority(), 1, Integer::sum);
  }

  private void drop(Waiting<T> entry) {
    entries.remove(entry.item());
    entry.setRemoved(true);
    TreeMap<Integer, Integer> counts = countByLane.get(entry.lane());
    counts.computeIfPresent(entry.request().priority(), (p, n) -> n > 1 ? n - 1 : null);
    if (counts.isEmpty()) {
      countByLane.remove(entry.lane());
    }
  }

  /**
   * Removes and returns the items whose latest start has passed.
   *
   * @param extension returns the latest start of a request as it is seen now, microseconds
   */
  public List<T> removeHopeless(long now, ToLongFunction<DispatchRequest> extension) {
    if (byLatestStart.size() > 2 * entries.size() + MAX_REMOVED_ENTRIES) {
      byLatestStart.removeIf(Waiting::isRemoved);
    }
    List<T> hopeless = new ArrayList<>();
    while (!byLatestStart.isEmpty()
        && (byLatestStart.peek().isRemoved() || byLatestStart.peek().latestStart() <= now)) {
      Waiting<T> entry = byLatestStart.poll();
      if (entry.isRemoved()) {
        continue;
      }
      entry.setLatestStart(extension.applyAsLong(entry.request()));
      if (entry.latestStart() > now) {
        byLatestStart.add(entry);
      } else {
        remove(entry.item());
        hopeless.add(entry.item());
      }
    }
    return hopeless;
  }

  /** Returns the items whose requests match. */
  public List<T> matching(Predicate<DispatchRequest> condition) {
    List<T> found = new ArrayList<>();
    for (Waiting<T> entry : entries.values()) {
      if (condition.test(entry.request())) {
        found.add(entry.item());
      }
    }
    return found;
  }

  /**
   * Starts items in order until several starts of each lane have failed.
   *
   * @param start starts an item and returns whether that succeeded
   * @return the number of started items
   */
  public int startWaiting(long now, Predicate<T> start) {
    Map<Lane, Integer> failures = new HashMap<>();
    Set<T> tried = new HashSet<>();
    int started = 0;
    for (Level<T> level : levels.values()) {
      while (startNext(level, now, start, failures, tried)) {
        started++;
      }
    }
    return started;
  }

  private boolean startNext(
      Level<T> level, long now, Predicate<T> start, Map<Lane, Integer> failures, Set<T> tried) {
    boolean lateFirst = level.startsSinceLate >= STARTS_PER_LATE_START - 1;
    FairTier<T> first = lateFirst ? level.late : level.inTime;
    FairTier<T> second = lateFirst ? level.inTime : level.late;
    return startNextOf(level, first, now, start, failures, tried)
        || startNextOf(level, second, now, start, failures, tried);
  }

  private boolean startNextOf(
      Level<T> level,
      FairTier<T> tier,
      long now,
      Predicate<T> start,
      Map<Lane, Integer> failures,
      Set<T> tried) {
    if (tier.size() == 0) {
      return false;
    }
    for (FairTier.Flow<T> flow : tier.order(MAX_FLOWS_PER_ROUND)) {
      if (tier == level.inTime) {
        moveLate(level, flow, now);
      }
      Waiting<T> head = flow.head();
      if (head == null
          || failures.getOrDefault(head.lane(), 0) >= MAX_FAILED_STARTS
          || !tried.add(head.item())) {
        continue;
      }
      // The start may end the request or queue it again, so it leaves the queue first.
      tier.take(flow);
      drop(head);
      if (start.test(head.item())) {
        tier.charge(flow, head);
        level.startsSinceLate = tier == level.late ? 0 : level.startsSinceLate + 1;
        return true;
      }
      tier.putBack(flow, head);
      restore(head);
      failures.merge(head.lane(), 1, Integer::sum);
    }
    return false;
  }

  private void moveLate(Level<T> level, FairTier.Flow<T> flow, long now) {
    Waiting<T> head = flow.head();
    while (head != null && head.request().targetMicros() <= now) {
      level.inTime.take(flow);
      head.markLate();
      level.late.add(head);
      head = flow.head();
    }
  }
}
