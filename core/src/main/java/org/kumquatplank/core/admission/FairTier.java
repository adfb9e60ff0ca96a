package org.kumquatplank.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Waiting requests of one urgency, ordered by start-time fair queueing.
 *
 * <p>The account that was given the least work is first, then within it the flow, the requests of a
 * route and lane, that was given the least, then age. An account or flow that begins to wait starts
 * level with those that wait, so that idle time earns no credit. Not thread-safe.
 *
 * @param <T> queued item
 */
final class FairTier<T> {
  private static final Comparator<Account<?>> BY_WORK_GIVEN =
      Comparator.<Account<?>>comparingLong(a -> a.workGiven).thenComparing(a -> a.name);

  private final Map<String, Account<T>> accounts = new HashMap<>();
  private final NavigableSet<Account<T>> waiting = new TreeSet<>(BY_WORK_GIVEN);
  private long level;
  private int size;

  /** Identifies a flow within an account. */
  private record FlowKey(String route, Lane lane) {}

  private static final class Account<T> {
    private final String name;
    private final Map<FlowKey, Flow<T>> flows = new HashMap<>();
    private long workGiven;
    private long level;

    Account(String name) {
      this.name = name;
    }
  }

  /** Requests of one account, route and lane in order of arrival. */
  static final class Flow<T> {
    private final Account<T> account;
    private final Deque<Waiting<T>> entries = new ArrayDeque<>();
    private long workGiven;

    private Flow(Account<T> account) {
      this.account = account;
    }

    /** Returns the oldest request, or null. */
    Waiting<T> head() {
      while (!entries.isEmpty() && entries.peekFirst().isRemoved()) {
        entries.pollFirst();
      }
      return entries.peekFirst();
    }
  }

  int size() {
    return size;
  }

  void add(Waiting<T> entry) {
    Account<T> account = accounts.get(entry.request().account());
    if (account == null) {
      account = new Account<>(entry.request().account());
      account.workGiven = level;
      accounts.put(account.name, account);
      waiting.add(account);
    }
    FlowKey key = new FlowKey(entry.request().route().name(), entry.lane());
    Flow<T> flow = account.flows.get(key);
    if (flow == null) {
      flow = new Flow<>(account);
      flow.workGiven = account.level;
      account.flows.put(key, flow);
    }
    flow.entries.addLast(entry);
    size++;
  }

  /** Records that a request was removed from the tier without a start. */
  void forget() {
    size--;
  }

  /** Returns the number of requests that start before a new one of this account and route. */
  int countAhead(Waiting<T> entry) {
    Account<T> account = accounts.get(entry.request().account());
    if (account == null) {
      return Math.min(size, accounts.size());
    }
    Flow<T> flow = account.flows.get(new FlowKey(entry.request().route().name(), entry.lane()));
    long own = flow == null ? 0 : flow.entries.size();
    return (int) Math.min(size, (own + 1) * accounts.size() * account.flows.size());
  }

  /** Returns the flows in the order in which they are served next; drops those that are empty. */
  List<Flow<T>> order(int limit) {
    List<Flow<T>> order = new ArrayList<>();
    List<Account<T>> empty = new ArrayList<>();
    for (Account<T> account : waiting) {
      account.flows.values().removeIf(flow -> flow.head() == null);
      if (account.flows.isEmpty()) {
        if (account.workGiven <= level) {
          empty.add(account);
        }
        continue;
      }
      List<Flow<T>> flows = new ArrayList<>(account.flows.values());
      flows.sort(
          Comparator.<Flow<T>>comparingLong(f -> f.workGiven)
              .thenComparingLong(f -> f.head().request().arrivalMicros()));
      order.addAll(flows);
      if (order.size() >= limit) {
        break;
      }
    }
    for (Account<T> account : empty) {
      waiting.remove(account);
      accounts.remove(account.name);
    }
    return order;
  }

  /** Takes the head of a flow out. */
  Waiting<T> take(Flow<T> flow) {
    size--;
    return flow.entries.pollFirst();
  }

  /** Puts a request back to the head of its flow. */
  void putBack(Flow<T> flow, Waiting<T> entry) {
    size++;
    flow.entries.addFirst(entry);
  }

  /** Charges the work of a started request to its flow and account. */
  void charge(Flow<T> flow, Waiting<T> entry) {
    Account<T> account = flow.account;
    waiting.remove(account);
    level = Math.max(level, account.workGiven);
    account.level = Math.max(account.level, flow.workGiven);
    account.workGiven += entry.work();
    flow.workGiven += entry.work();
    waiting.add(account);
  }
}
