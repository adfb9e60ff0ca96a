package org.kumquatplank.edge;

import java.util.LinkedHashMap;
import java.util.Map;
import org.kumquatplank.core.catalog.BackendServer;

/**
 * The backend servers that have left the list of the store in the last minutes.
 *
 * <p>Tells their entries in an older copy of the store from those of servers that live. Confined to
 * the control thread.
 */
final class DepartedServers {
  /** Longer than a copy is old. */
  private static final long RETENTION_MICROS = 120_000_000;

  private static final long NEVER_SEEN = -1;

  private final Map<String, Departure> departures = new LinkedHashMap<>();

  private DepartedServers() {}

  private record Departure(long startedMillis, long expiresAt) {}

  static DepartedServers create() {
    return new DepartedServers();
  }

  void add(BackendServer server, long now) {
    removeExpired(now);
    departures.remove(server.id());
    departures.put(server.id(), new Departure(server.startedMillis(), now + RETENTION_MICROS));
  }

  private void removeExpired(long now) {
    departures.values().removeIf(d -> now >= d.expiresAt());
  }

  /** Returns when the last process of that id started, Unix milliseconds, or -1 if unknown. */
  long startedMillis(String id, long now) {
    removeExpired(now);
    Departure departure = departures.get(id);
    return departure == null ? NEVER_SEEN : departure.startedMillis();
  }
}
