package org.kumquatplank.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.RendezvousHashing;

/**
 * Tracks the in-flight requests of each backend server and selects the backend server of a request.
 *
 * <p>Own requests are counted exactly, those of the peers come from their digests. Not thread-safe.
 */
final class BackendTable {
  private static final int DEFAULT_SLOTS = 8;

  /** Long requests may take this part of the slots, so that short ones find a free slot. */
  private static final double LONG_REQUEST_SLOT_RATIO = 0.9;

  /** Backend servers with a score up to this multiple of the best one are tied. */
  private static final double MAX_SCORE_RATIO = 1.15;

  private static final double LOAD_SLOWDOWN = 1.0;

  private final String self;
  private final String region;
  private final BackendSpeedTracker speeds;
  private final Map<String, Integer> slots = new HashMap<>();
  private final Map<String, Integer> ownInFlight = new HashMap<>();
  private final Map<String, Integer> ownLongInFlight = new HashMap<>();
  private final Map<String, Map<String, PeerLoad>> peerLoads = new HashMap<>();
  private final Map<String, List<ListedInstance>> byVersion = new HashMap<>();
  private InstanceList list = InstanceList.empty();

  BackendTable(String self, String region, BackendSpeedTracker speeds) {
    this.self = self;
    this.region = region;
    this.speeds = speeds;
  }

  void setList(InstanceList newList) {
    list = newList;
    byVersion.clear();
    Set<String> known =
        list.instances().stream().map(ListedInstance::id).collect(Collectors.toSet());
    speeds.retainBackends(known);
    slots.keySet().retainAll(known);
  }

  void setSlots(String backend, int count) {
    slots.put(backend, count);
  }

  void setPeerLoads(String peer, List<PeerLoad> loads) {
    peerLoads.put(peer, loads.stream().collect(Collectors.toMap(PeerLoad::backend, l -> l)));
  }

  void retainPeers(Set<String> live) {
    peerLoads.keySet().retainAll(live);
  }

  List<PeerLoad> ownLoads() {
    return ownInFlight.entrySet().stream()
        .filter(e -> e.getValue() > 0)
        .map(
            e ->
                new PeerLoad(e.getKey(), e.getValue(), ownLongInFlight.getOrDefault(e.getKey(), 0)))
        .toList();
  }

  void incrementInFlight(String backend, boolean longRequest) {
    ownInFlight.merge(backend, 1, Integer::sum);
    if (longRequest) {
      ownLongInFlight.merge(backend, 1, Integer::sum);
    }
  }

  void decrementInFlight(String backend, boolean longRequest) {
    ownInFlight.computeIfPresent(backend, (b, n) -> n > 1 ? n - 1 : null);
    if (longRequest) {
      ownLongInFlight.computeIfPresent(backend, (b, n) -> n > 1 ? n - 1 : null);
    }
  }

  List<ListedInstance> backendsOf(String version) {
    return byVersion.computeIfAbsent(version, list::enginesServing);
  }

  boolean isServed(String version) {
    return !backendsOf(version).isEmpty();
  }

  private boolean serves(String backend, String version) {
    return backendsOf(version).stream().anyMatch(e -> e.id().equals(backend));
  }

  boolean hasAvailable(String version, boolean longRequest, long now) {
    return backendsOf(version).stream().anyMatch(isAvailable(longRequest, now));
  }

  private Predicate<ListedInstance> isAvailable(boolean longRequest, long now) {
    return e -> !speeds.isSuspect(e.id(), now) && hasSlot(e.id(), longRequest);
  }

  private boolean hasSlot(String backend, boolean longRequest) {
    int limit =
        speeds.isOnProbation(backend) ? load(backend) - ownLoad(backend) + 1 : slotsOf(backend);
    if (load(backend) >= limit) {
      return false;
    }
    return !longRequest || longLoad(backend) < Math.max(1, (int) (limit * LONG_REQUEST_SLOT_RATIO));
  }

  /**
   * Selects the backend server with the lowest expected time per token, or returns empty if all are
   * busy. Backend servers of the own region take precedence.
   *
   * @param excluded identity of a backend server that must not be selected, or an empty string
   */
  Optional<String> select(
      String version, RoutingRequest request, boolean longRequest, String excluded, long now) {
    return choose(version, request, excluded, isAvailable(longRequest, now));
  }

  /**
   * Selects the backend server of a retry for which {@link #select} finds none: a suspected one
   * with a free slot, or else the one that failed, because only its connection may have failed.
   *
   * @param failed identity of the backend server that failed
   */
  Optional<String> selectLastResort(String version, RoutingRequest request, String failed) {
    return choose(version, request, failed, e -> load(e.id()) < slotsOf(e.id()))
        .or(() -> serves(failed, version) ? Optional.of(failed) : Optional.empty());
  }

  private Optional<String> choose(
      String version,
      RoutingRequest request,
      String excluded,
      Predicate<ListedInstance> condition) {
    List<ListedInstance> available =
        backendsOf(version).stream()
            .filter(condition)
            .filter(e -> !e.id().equals(excluded))
            .toList();
    List<ListedInstance> sameRegion =
        available.stream().filter(e -> e.region().equals(region)).toList();
    List<ListedInstance> candidates = sameRegion.isEmpty() ? available : sameRegion;
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    double bestScore = candidates.stream().mapToDouble(e -> score(e.id(), version)).min().orElse(0);
    List<ListedInstance> closeToBest = new ArrayList<>(candidates);
    closeToBest.removeIf(e -> score(e.id(), version) > bestScore * MAX_SCORE_RATIO);
    // Digests show the choices of peers late, so each instance breaks ties in a different order.
    // Otherwise all would select the same idle backend server. The order for a pinned version is
    // the same at all instances.
    String tieKey =
        request.pinnedVersion().isPresent() ? request.account() : self + request.account();
    return closeToBest.stream()
        .max(Comparator.comparingLong(e -> RendezvousHashing.weight(tieKey, e.id())))
        .map(ListedInstance::id);
  }

  private double score(String backend, String version) {
    double loadFactor = 1 + LOAD_SLOWDOWN * load(backend) / slotsOf(backend);
    return speeds.tokenIntervalMicros(backend, version) * loadFactor;
  }

  private int ownLoad(String backend) {
    return ownInFlight.getOrDefault(backend, 0);
  }

  int load(String backend) {
    int total = ownLoad(backend);
    for (Map<String, PeerLoad> loads : peerLoads.values()) {
      PeerLoad load = loads.get(backend);
      total += load == null ? 0 : load.inFlight();
    }
    return total;
  }

  private int longLoad(String backend) {
    int total = ownLongInFlight.getOrDefault(backend, 0);
    for (Map<String, PeerLoad> loads : peerLoads.values()) {
      PeerLoad load = loads.get(backend);
      total += load == null ? 0 : load.longInFlight();
    }
    return total;
  }

  private int slotsOf(String backend) {
    return slots.getOrDefault(backend, DEFAULT_SLOTS);
  }
}
