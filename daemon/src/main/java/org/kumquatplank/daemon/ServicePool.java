package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.kumquatplank.core.membership.ListedInstance;

/**
 * Selects backend servers of plain services.
 *
 * <p>Prefers servers without a recent failure, then servers of this region, then the server with
 * the fewest requests in flight. Thread-safe.
 */
final class ServicePool {
  private static final Duration FAILURE_BACKOFF = Duration.ofSeconds(2);

  private final String region;
  private final ConcurrentHashMap<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, Instant> avoidedUntil = new ConcurrentHashMap<>();

  ServicePool(String region) {
    this.region = region;
  }

  /** Selects a server that was not tried yet, or returns empty if there is none. */
  Optional<ListedInstance> select(List<ListedInstance> servers, Set<String> tried) {
    Instant now = Instant.now();
    return servers.stream()
        .filter(s -> !tried.contains(s.id()))
        .min(
            Comparator.comparing((ListedInstance s) -> isAvoided(s.id(), now))
                .thenComparing(s -> !s.region().equals(region))
                .thenComparing(s -> inFlightCount(s.id())));
  }

  private boolean isAvoided(String server, Instant now) {
    return now.isBefore(avoidedUntil.getOrDefault(server, Instant.MIN));
  }

  private int inFlightCount(String server) {
    AtomicInteger count = inFlight.get(server);
    return count == null ? 0 : count.get();
  }

  void requestStarted(String server) {
    inFlight.computeIfAbsent(server, s -> new AtomicInteger()).incrementAndGet();
  }

  void requestFinished(String server) {
    inFlight.get(server).decrementAndGet();
  }

  /** Records a failure; the server is avoided for a short time if another one is available. */
  void markFailed(String server) {
    avoidedUntil.put(server, Instant.now().plus(FAILURE_BACKOFF));
  }
}
