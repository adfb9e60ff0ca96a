package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for capacity at the backend servers of one service.
 *
 * <p>Starts requests by priority, then by the fewest in-flight requests of the client account, then
 * by age, so that a burst of one account does not delay the others. Not thread-safe.
 *
 * @param <T> queued item
 */
public final class WaitQueue<T> {
  /** Failed starts after which no capacity is assumed for the rest of the queue. */
  private static final int MAX_FAILED_STARTS = 3;

  private final List<Entry<T>> entries = new ArrayList<>();
  private final Map<String, Integer> inFlightByAccount = new HashMap<>();

  private WaitQueue() {}

  /** Returns an empty queue. */
  public static <T> WaitQueue<T> create() {
    return new WaitQueue<>();
  }

  /** A queued request and the time after which it is rejected. */
  private record Entry<T>(DispatchRequest request, T item, long startDeadline) {}

  /**
   * Adds a request.
   *
   * @param startDeadline time after which the request is rejected instead of started, microseconds
   */
  public void add(DispatchRequest request, T item, long startDeadline) {
    entries.add(new Entry<>(request, item, startDeadline));
  }

  /** Removes a queued item, if present. */
  public void remove(T item) {
    entries.removeIf(entry -> entry.item.equals(item));
  }

  /** Records that a request of a client account was started. */
  public void requestStarted(String account) {
    inFlightByAccount.merge(account, 1, Integer::sum);
  }

  /** Records that a request of a client account has ended. */
  public void requestEnded(String account) {
    inFlightByAccount.computeIfPresent(account, (a, n) -> n > 1 ? n - 1 : null);
  }

  /** Returns the number of queued requests. */
  public int size() {
    return entries.size();
  }

  /** Returns the number of queued requests of the same or a more urgent priority. */
  public int countAhead(DispatchRequest request) {
    return (int)
        entries.stream().filter(entry -> entry.request.priority() <= request.priority()).count();
  }

  /** Removes and returns the items whose start deadline has passed. */
  public List<T> removeExpired(long now) {
    List<T> expired = new ArrayList<>();
    entries.removeIf(entry -> entry.startDeadline <= now && expired.add(entry.item));
    return expired;
  }

  /** Removes and returns the items whose requests match. */
  public List<T> removeMatching(Predicate<DispatchRequest> condition) {
    List<T> removed = new ArrayList<>();
    entries.removeIf(entry -> condition.test(entry.request) && removed.add(entry.item));
    return removed;
  }

  /**
   * Starts queued items in order until several starts have failed.
   *
   * @param start starts an item and returns whether that succeeded
   */
  public void startWaiting(Predicate<T> start) {
    if (entries.isEmpty()) {
      return;
    }
    List<Entry<T>> order = new ArrayList<>(entries);
    order.sort(
        Comparator.<Entry<T>>comparingInt(entry -> entry.request.priority())
            .thenComparingInt(entry -> inFlightByAccount.getOrDefault(entry.request.account(), 0))
            .thenComparingLong(entry -> entry.request.arrivalMicros()));
    int failures = 0;
    for (Entry<T> entry : order) {
      if (start.test(entry.item)) {
        entries.remove(entry);
      } else if (++failures >= MAX_FAILED_STARTS) {
        return;
      }
    }
  }
}
