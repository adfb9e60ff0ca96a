package org.kumquatplank.edge.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that instances follow what backend servers say of themselves in responses: that they
 * leave, or that they want nothing for a time.
 *
 * <p>A restart, a freeze or a cut since the response excuses an instance. Thread-safe.
 */
final class NoticeCheck {
  /** Time of a disturbance that has not ended yet. */
  static final long LASTING = Long.MAX_VALUE;

  private static final long MILLION = 1_000_000;

  /** Time after which no request may reach a server that said that it leaves. */
  private static final long DRAIN_NANOS = 3_000 * MILLION;

  /** Time after a refusal in which requests may still be on their way. */
  private static final long ON_THE_WAY_NANOS = 500 * MILLION;

  /** Requests that may reach a server in the time in which it wants none. */
  private static final int MAX_REQUESTS = 2;

  private final Map<Pair, Long> leavingSince = new HashMap<>();
  private final Map<Pair, BackOff> backOffs = new HashMap<>();
  private final Map<Integer, Long> instanceDisturbedAt = new HashMap<>();
  private final Map<String, Long> backendDisturbedAt = new HashMap<>();
  private int notices;

  /** An instance and a process of a backend server. */
  private record Pair(int instance, String backend) {}

  /** A refusal that named a time, and the requests that came since all the same. */
  private record BackOff(long since, long until, int requests) {}

  /** Records the end of a restart or freeze of an instance, or that one lasts. */
  synchronized void disturbInstance(int instance, long now) {
    instanceDisturbedAt.put(instance, now);
  }

  /**
   * Records the end of a cut or delay of the connections to a backend server, or that one lasts.
   */
  synchronized void disturbBackend(String backend, long now) {
    backendDisturbedAt.put(backend, now);
  }

  synchronized void onLeaving(int instance, String backend, long now) {
    notices++;
    leavingSince.putIfAbsent(new Pair(instance, backend), now);
  }

  synchronized void onBackOff(int instance, String backend, long millis, long now) {
    notices++;
    backOffs.put(new Pair(instance, backend), new BackOff(now, now + millis * MILLION, 0));
  }

  /** Returns how many responses said something that was to be followed. */
  synchronized int notices() {
    return notices;
  }

  /** Returns the violation by a request that reaches a backend server, if it is one. */
  synchronized Optional<String> onRequest(int instance, String backend, long now) {
    Pair pair = new Pair(instance, backend);
    Long leaving = leavingSince.get(pair);
    if (leaving != null && now > leaving + DRAIN_NANOS && isUndisturbed(pair, leaving)) {
      return Optional.of(backend + " got a request of entry " + instance + " though it leaves");
    }
    BackOff backOff = backOffs.get(pair);
    if (backOff == null || now < backOff.since() + ON_THE_WAY_NANOS || now > backOff.until()) {
      return Optional.empty();
    }
    int requests = backOff.requests() + 1;
    backOffs.put(pair, new BackOff(backOff.since(), backOff.until(), requests));
    return requests > MAX_REQUESTS && isUndisturbed(pair, backOff.since())
        ? Optional.of(backend + " got requests of entry " + instance + " while it wants none")
        : Optional.empty();
  }

  private boolean isUndisturbed(Pair pair, long since) {
    return instanceDisturbedAt.getOrDefault(pair.instance(), Long.MIN_VALUE) < since
        && backendDisturbedAt.getOrDefault(pair.backend(), Long.MIN_VALUE) < since;
  }
}
