package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kumquatplank.core.catalog.BackendServer;

/**
 * The backend servers of each service with what this instance knows of them.
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
   * <p>A process that is still listed keeps its state; one that is not is marked as gone.
   *
   * @return the states of processes that are no longer listed
   */
  public List<BackendState> setServers(Collection<BackendServer> servers) {
    Map<String, BackendState> old = new HashMap<>(byId);
    byId.clear();
    byService.clear();
    for (BackendServer server : servers) {
      BackendState state = old.get(server.id());
      if (state != null && state.server().isSameProcess(server)) {
        old.remove(server.id());
        state.setServer(server);
      } else {
        state = new BackendState(server);
      }
      byId.put(server.id(), state);
      byService.computeIfAbsent(server.service(), s -> new ArrayList<>()).add(state);
    }
    old.values().forEach(BackendState::markGone);
    return List.copyOf(old.values());
  }

  /** Returns all backend servers of a service, those that are leaving too. */
  public List<BackendState> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns all backend servers. */
  public Collection<BackendState> all() {
    return byId.values();
  }

  /** Notes what a peer has under way. */
  public void peerLoads(String peer, Collection<PeerLoad> loads, long now) {
    byId.values().forEach(state -> state.forgetPeer(peer));
    for (PeerLoad load : loads) {
      Optional.ofNullable(byId.get(load.backend())).ifPresent(s -> s.peerLoad(peer, load, now));
    }
  }
}
