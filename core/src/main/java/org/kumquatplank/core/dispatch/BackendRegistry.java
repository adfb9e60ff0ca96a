package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kumquatplank.core.catalog.BackendServer;

/**
 * Registry of the backend servers of each service and the state that this instance tracks for each.
 *
 * <p>Not thread-safe.
 */
public final class BackendRegistry {
  private final Map<String, BackendState> byId = new HashMap<>();
  private final Map<String, List<BackendState>> byService = new HashMap<>();

  private BackendRegistry() {}

  /** Returns an empty registry. */
  public static BackendRegistry create() {
    return new BackendRegistry();
  }

  /**
   * Replaces the list of backend servers.
   *
   * <p>A process that is still listed keeps its state. A process that is no longer listed is marked
   * as removed.
   *
   * @return the states of processes that are no longer listed
   */
  public List<BackendState> setServers(Collection<BackendServer> servers) {
    Map<String, BackendState> unlisted = new HashMap<>(byId);
    byId.clear();
    byService.clear();
    for (BackendServer server : servers) {
      BackendState state = unlisted.get(server.id());
      if (state != null && state.server().isSameProcess(server)) {
        unlisted.remove(server.id());
        state.updateServer(server);
      } else {
        state = new BackendState(server);
      }
      byId.put(server.id(), state);
      byService.computeIfAbsent(server.service(), s -> new ArrayList<>()).add(state);
    }
    unlisted.values().forEach(BackendState::markRemoved);
    return List.copyOf(unlisted.values());
  }

  /** Returns all backend servers of a service, including those that are draining. */
  public List<BackendState> forService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns all backend servers. */
  public Collection<BackendState> all() {
    return byId.values();
  }

  /** Returns the listed processes that said that they leave. */
  public List<LeavingServer> leaving() {
    return byId.values().stream()
        .filter(BackendState::isLeaving)
        .map(state -> new LeavingServer(state.server().id(), state.server().startedMillis()))
        .toList();
  }

  /** Records the processes that a peer knows to leave, as far as they are listed. */
  public void addLeaving(Collection<LeavingServer> leaving) {
    for (LeavingServer server : leaving) {
      Optional.ofNullable(byId.get(server.id()))
          .filter(state -> state.server().startedMillis() == server.startedMillis())
          .ifPresent(BackendState::recordLeaving);
    }
  }

  /** Returns the load of this instance per backend server that it uses or suspects. */
  public List<PeerLoad> ownLoads(long now) {
    List<PeerLoad> loads = new ArrayList<>();
    for (BackendState b : byId.values()) {
      boolean suspect = b.isLocallySuspect(now);
      if (b.inFlightRequests() > 0 || suspect) {
        loads.add(
            new PeerLoad(b.server().id(), b.inFlightRequests(), b.pendingPrefillTokens(), suspect));
      }
    }
    return loads;
  }

  /** Replaces the in-flight load that a peer reported with its latest digest. */
  public void setPeerLoads(String peer, Collection<PeerLoad> loads, long now) {
    byId.values().forEach(state -> state.removePeerLoad(peer));
    for (PeerLoad load : loads) {
      Optional.ofNullable(byId.get(load.backendId()))
          .ifPresent(state -> state.updatePeerLoad(peer, load, now));
    }
  }
}
