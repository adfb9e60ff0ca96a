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
 * Waiting work, served to client accounts in equal shares of predicted service time.
 *
 * <p>Within an account each kind of work has a line of its own, so that work whose version is busy
 * holds up no other. Not thread-safe.
 */
final class FairQueue {
  private final Map<String, Account> accounts = new HashMap<>();
  private double virtualTime;
  private double queuedMicros;
  private int size;

  /** Work that needs the same versions. */
  private record LineKey(String workClass, Optional<String> pinned) {
    static LineKey of(RoutingRequest request) {
      return new LineKey(request.workClass().name(), request.pinned());
    }
  }

  /** One account's waiting work. */
  private static final class Account {
    private final Map<LineKey, Deque<Waiting>> lines = new LinkedHashMap<>();
    private double served;
    private double micros;

    boolean isIdle() {
      return lines.isEmpty();
    }
  }

  /** Work that waits, with its predicted time on an engine. */
  record Waiting(RoutingRequest request, double micros) {}

  void add(RoutingRequest request, double micros) {
    Account account = accounts.computeIfAbsent(request.account(), a -> new Account());
    if (account.isIdle()) {
      account.served = Math.max(account.served, virtualTime);
    }
    account
        .lines
        .computeIfAbsent(LineKey.of(request), k -> new ArrayDeque<>())
        .add(new Waiting(request, micros));
    account.micros += micros;
    queuedMicros += micros;
    size++;
  }

  /** Returns the oldest work of each line, the account that is due first in front. */
  List<Waiting> heads() {
    List<Waiting> heads = new ArrayList<>();
    accounts.values().stream()
        .filter(a -> !a.isIdle())
        .sorted(Comparator.comparingDouble(a -> a.served))
        .forEach(a -> a.lines.values().forEach(line -> heads.add(line.peekFirst())));
    return heads;
  }

  /** Removes the oldest work of a line, which has been started. */
  void start(Waiting waiting) {
    Account account = accounts.get(waiting.request().account());
    LineKey key = LineKey.of(waiting.request());
    Deque<Waiting> line = account.lines.get(key);
    line.pollFirst();
    if (line.isEmpty()) {
      account.lines.remove(key);
    }
    virtualTime = Math.max(virtualTime, account.served);
    account.served += waiting.micros();
    forget(account, waiting);
  }

  /** Removes and returns the waiting work that fits. */
  List<Waiting> removeIf(Predicate<Waiting> condition) {
    List<Waiting> removed = new ArrayList<>();
    for (Account account : accounts.values()) {
      for (Deque<Waiting> line : account.lines.values()) {
        Iterator<Waiting> items = line.iterator();
        while (items.hasNext()) {
          Waiting waiting = items.next();
          if (condition.test(waiting)) {
            items.remove();
            forget(account, waiting);
            removed.add(waiting);
          }
        }
      }
      account.lines.values().removeIf(Deque::isEmpty);
    }
    accounts.values().removeIf(a -> a.isIdle() && a.served < virtualTime);
    return removed;
  }

  private void forget(Account account, Waiting waiting) {
    account.micros -= waiting.micros();
    queuedMicros -= waiting.micros();
    size--;
  }

  /** Returns the service time of what goes before new work of the account, at equal shares. */
  double microsAhead(String name) {
    Account account = accounts.get(name);
    double ownMicros = account == null ? 0 : account.micros;
    long active = accounts.values().stream().filter(a -> !a.isIdle()).count();
    return Math.min(queuedMicros, ownMicros * Math.max(1, active));
  }

  int size() {
    return size;
  }
}
