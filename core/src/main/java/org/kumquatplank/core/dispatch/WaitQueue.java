package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that wait for room at the backend servers of one service.
 *
 * <p>Answers a burst: more urgent work first, then the client account that has the least under way,
 * then the oldest. Not thread-safe.
 *
 * @param <T> what waits
 */
public final class WaitQueue<T> {
  /** Where this many could not start, there is no room for the others either. */
  private static final int MOST_FAILED_STARTS = 3;

  private final List<Waiting<T>> waiting = new ArrayList<>();
  private final Map<String, Integer> runningByAccount = new HashMap<>();

  private WaitQueue() {}

  /** Returns an empty queue. */
  public static <T> WaitQueue<T> create() {
    return new WaitQueue<>();
  }

  /** A request and the time from which it is not worth starting. */
  private record Waiting<T>(DispatchRequest request, T item, long startDeadline) {}

  /**
   * Adds a request.
   *
   * @param startDeadline time after which it is refused instead of started, microseconds
   */
  public void add(DispatchRequest request, T item, long startDeadline) {
    waiting.add(new Waiting<>(request, item, startDeadline));
  }

  /** Removes a request that no longer waits. */
  public void remove(T item) {
    waiting.removeIf(w -> w.item.equals(item));
  }

  /** Notes that a request of a client account was started. */
  public void started(String account) {
    runningByAccount.merge(account, 1, Integer::sum);
  }

  /** Notes that a request of a client account has ended. */
  public void ended(String account) {
    runningByAccount.computeIfPresent(account, (a, n) -> n > 1 ? n - 1 : null);
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return waiting.size();
  }

  /** Returns how many that wait go before a request. */
  public int ahead(DispatchRequest request) {
    return (int) waiting.stream().filter(w -> w.request.priority() <= request.priority()).count();
  }

  /** Removes and returns what can't be started in time any more. */
  public List<T> removeLate(long now) {
    List<T> late = new ArrayList<>();
    waiting.removeIf(w -> w.startDeadline <= now && late.add(w.item));
    return late;
  }

  /**
   * Starts what can be started, best first.
   *
   * @param start starts an item, and returns whether that succeeded
   */
  public void startAll(Predicate<T> start) {
    if (waiting.isEmpty()) {
      return;
    }
    List<Waiting<T>> order = new ArrayList<>(waiting);
    order.sort(
        Comparator.<Waiting<T>>comparingInt(w -> w.request.priority())
            .thenComparingInt(w -> runningByAccount.getOrDefault(w.request.account(), 0))
            .thenComparingLong(w -> w.request.arrived()));
    int failures = 0;
    for (Waiting<T> next : order) {
      if (start.test(next.item)) {
        waiting.remove(next);
      } else if (++failures >= MOST_FAILED_STARTS) {
        return;
      }
    }
  }
}
