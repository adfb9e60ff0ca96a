package org.kumquatplank.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A fair queue that gives client accounts equal shares of the predicted service time.
 *
 * <p>Each account has a separate subqueue per work class and pinned version, so that a request
 * whose version is busy does not block others. Not thread-safe.
 */
final class FairQueue {
  private final Map<String, AccountQueue> accounts = new HashMap<>();
  private double virtualTimeMicros;
  private double queuedMicros;
  private int size;

  /** Key of a subqueue: its requests can be served by the same versions. */
  private record SubqueueKey(String workClass, Optional<String> pinned) {
    static SubqueueKey of(RoutingRequest request) {
      return new SubqueueKey(request.workClass().name(), request.pinnedVersion());
    }
  }

  /** The queued requests of one account. */
  private static final class AccountQueue {
    private final Map<SubqueueKey, Deque<QueuedRequest>> subqueues = new LinkedHashMap<>();

    /** Virtual time up to which the account has received its share of the service time. */
    private double virtualMicros;

    private double queuedMicros;

    boolean isIdle() {
      return subqueues.isEmpty();
    }
  }

  /**
   * A queued request.
   *
   * @param request the request
   * @param serviceMicros predicted service time on a backend server, in microseconds
   */
  record QueuedRequest(RoutingRequest request, double serviceMicros) {}

  void add(RoutingRequest request, double serviceMicros) {
    AccountQueue account = accounts.computeIfAbsent(request.account(), a -> new AccountQueue());
    if (account.isIdle()) {
      account.virtualMicros = Math.max(account.virtualMicros, virtualTimeMicros);
    }
    account
        .subqueues
        .computeIfAbsent(SubqueueKey.of(request), k -> new ArrayDeque<>())
        .add(new QueuedRequest(request, serviceMicros));
    account.queuedMicros += serviceMicros;
    queuedMicros += serviceMicros;
    size++;
  }

  /** Returns the oldest request of each subqueue, those of the least served account first. */
  List<QueuedRequest> heads() {
    List<QueuedRequest> heads = new ArrayList<>();
    accounts.values().stream()
        .filter(a -> !a.isIdle())
        .sorted(Comparator.comparingDouble(a -> a.virtualMicros))
        .forEach(a -> a.subqueues.values().forEach(subqueue -> heads.add(subqueue.peekFirst())));
    return heads;
  }

  /** Removes a request returned by {@link #heads()} and charges its service time to its account. */
  void dequeue(QueuedRequest queued) {
    AccountQueue account = accounts.get(queued.request().account());
    SubqueueKey key = SubqueueKey.of(queued.request());
    Deque<QueuedRequest> subqueue = account.subqueues.get(key);
    subqueue.pollFirst();
    if (subqueue.isEmpty()) {
      account.subqueues.remove(key);
    }
    virtualTimeMicros = Math.max(virtualTimeMicros, account.virtualMicros);
    account.virtualMicros += queued.serviceMicros();
    subtractFromTotals(account, queued);
  }

  /** Removes and returns the queued requests that match the condition. */
  List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> removed = new ArrayList<>();
    for (AccountQueue account : accounts.values()) {
      for (Deque<QueuedRequest> subqueue : account.subqueues.values()) {
        Iterator<QueuedRequest> iterator = subqueue.iterator();
        while (iterator.hasNext()) {
          QueuedRequest queued = iterator.next();
          if (condition.test(queued)) {
            iterator.remove();
            subtractFromTotals(account, queued);
            removed.add(queued);
          }
        }
      }
      account.subqueues.values().removeIf(Deque::isEmpty);
    }
    accounts.values().removeIf(a -> a.isIdle() && a.virtualMicros < virtualTimeMicros);
    return removed;
  }

  private void subtractFromTotals(AccountQueue account, QueuedRequest queued) {
    account.queuedMicros -= queued.serviceMicros();
    queuedMicros -= queued.serviceMicros();
    size--;
  }

  /**
   * Returns the service time queued ahead of a new request of the account, in microseconds, if all
   * accounts with queued requests get equal shares.
   */
  double queuedMicrosAhead(String name) {
    AccountQueue account = accounts.get(name);
    double ownMicros = account == null ? 0 : account.queuedMicros;
    long active = accounts.values().stream().filter(a -> !a.isIdle()).count();
    return Math.min(queuedMicros, ownMicros * Math.max(1, active));
  }

  int size() {
    return size;
  }
}
