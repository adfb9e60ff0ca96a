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
import org.kumquatplank.core.membership.Rendezvous;

/**
 * The engines, the work known to be on each, and the choice among them.
 *
 * <p>Work of this instance is known exactly, work of its peers from their digests. Not thread-safe.
 */
final class BackendTable {
  private static final int DEFAULT_SLOTS = 8;
  private static final double LONG_SHARE = 0.9;
  private static final double NEAR_BEST = 1.15;
  private static final double LOAD_SLOWDOWN = 1.0;

  private final String self;
  private final String region;
  private final BackendSpeedTracker speeds;
  private final Map<String, Integer> slots = new HashMap<>();
  private final Map<String, Integer> own = new HashMap<>();
  private final Map<String, Integer> ownLong = new HashMap<>();
  private final Map<String, Map<String, PeerLoad>> peers = new HashMap<>();
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
    speeds.keepOnly(known);
    slots.keySet().retainAll(known);
  }

  void setSlots(String backend, int count) {
    slots.put(backend, count);
  }

  void setPeerLoads(String peer, List<PeerLoad> loads) {
    peers.put(peer, loads.stream().collect(Collectors.toMap(PeerLoad::backend, l -> l)));
  }

  void keepPeers(Set<String> live) {
    peers.keySet().retainAll(live);
  }

  List<PeerLoad> ownLoads() {
    return own.entrySet().stream()
        .filter(e -> e.getValue() > 0)
        .map(e -> new PeerLoad(e.getKey(), e.getValue(), ownLong.getOrDefault(e.getKey(), 0)))
        .toList();
  }

  void begin(String backend, boolean longWork) {
    own.merge(backend, 1, Integer::sum);
    if (longWork) {
      ownLong.merge(backend, 1, Integer::sum);
    }
  }

  void end(String backend, boolean longWork) {
    own.computeIfPresent(backend, (b, n) -> n > 1 ? n - 1 : null);
    if (longWork) {
      ownLong.computeIfPresent(backend, (b, n) -> n > 1 ? n - 1 : null);
    }
  }

  List<ListedInstance> enginesOf(String version) {
    return byVersion.computeIfAbsent(version, list::enginesOf);
  }

  boolean isServed(String version) {
    return !enginesOf(version).isEmpty();
  }

  boolean serves(String backend, String version) {
    return enginesOf(version).stream().anyMatch(e -> e.id().equals(backend));
  }

  boolean hasFree(String version, boolean longWork, long now) {
    return enginesOf(version).stream().anyMatch(isUsable(longWork, now));
  }

  private Predicate<ListedInstance> isUsable(boolean longWork, long now) {
    return e -> !speeds.isSuspect(e.id(), now) && hasSlot(e.id(), longWork);
  }

  private boolean hasSlot(String backend, boolean longWork) {
    int most =
        speeds.isOnProbation(backend) ? load(backend) - ownLoad(backend) + 1 : slotsOf(backend);
    if (load(backend) >= most) {
      return false;
    }
    return !longWork || longLoad(backend) < Math.max(1, (int) (most * LONG_SHARE));
  }

  /** Returns the engine expected to finish first, near ones first, or nothing if all are busy. */
  Optional<String> place(String version, RoutingRequest request, boolean longWork, String avoid, long now) {
    List<ListedInstance> free =
        enginesOf(version).stream()
            .filter(isUsable(longWork, now))
            .filter(e -> !e.id().equals(avoid))
            .toList();
    List<ListedInstance> near = free.stream().filter(e -> e.region().equals(region)).toList();
    List<ListedInstance> usable = near.isEmpty() ? free : near;
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    double best = usable.stream().mapToDouble(e -> score(e.id(), version)).min().orElse(0);
    List<ListedInstance> nearBest = new ArrayList<>(usable);
    nearBest.removeIf(e -> score(e.id(), version) > best * NEAR_BEST);
    // Instances see each other's choices late: each breaks ties in an order of its own, so that
    // they don't all go to the same idle engine. A session's order is the same at all of them.
    String tieKey = request.pinned().isPresent() ? request.account() : self + request.account();
    return nearBest.stream()
        .max(Comparator.comparingLong(e -> Rendezvous.weight(tieKey, e.id())))
        .map(ListedInstance::id);
  }

  private double score(String backend, String version) {
    double crowding = 1 + LOAD_SLOWDOWN * load(backend) / slotsOf(backend);
    return speeds.tokenMicros(backend, version) * crowding;
  }

  private int ownLoad(String backend) {
    return own.getOrDefault(backend, 0);
  }

  int load(String backend) {
    int total = ownLoad(backend);
    for (Map<String, PeerLoad> loads : peers.values()) {
      PeerLoad load = loads.get(backend);
      total += load == null ? 0 : load.requests();
    }
    return total;
  }

  private int longLoad(String backend) {
    int total = ownLong.getOrDefault(backend, 0);
    for (Map<String, PeerLoad> loads : peers.values()) {
      PeerLoad load = loads.get(backend);
      total += load == null ? 0 : load.longRequests();
    }
    return total;
  }

  private int slotsOf(String backend) {
    return slots.getOrDefault(backend, DEFAULT_SLOTS);
  }
}
