package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.BackendDecoder;

/**
 * Folds the backend servers' records into a list.
 *
 * <p>An entry that lapsed while the store was away counts until a short time after its return.
 * Confined to the control thread.
 */
final class ServerList {
  /** Entries that lapsed during an outage are back within two seconds of the store's return. */
  private static final long LAPSE_GRACE_MICROS = 2_200_000;

  /** Shorter outages let no entry lapse. */
  private static final long LEAST_OUTAGE_MICROS = 1_000_000;

  private final Map<String, BackendServer> servers = new HashMap<>();
  private final Map<String, Long> lapsedUntil = new HashMap<>();
  private long graceUntil = Long.MIN_VALUE;
  private boolean changed;

  private ServerList() {}

  static ServerList create() {
    return new ServerList();
  }

  void onListing(List<StoreRecord> records, long now) {
    Map<String, StoreRecord> listed = StoreFollower.byKey(records);
    records.forEach(r -> apply(r, now));
    for (String id : List.copyOf(servers.keySet())) {
      if (!listed.containsKey(id) || listed.get(id).value().isEmpty()) {
        remove(id, now);
      }
    }
  }

  void onChanges(List<StoreRecord> records, long now) {
    records.forEach(r -> apply(r, now));
  }

  void onRegained(long outageMicros, long now) {
    if (outageMicros >= LEAST_OUTAGE_MICROS) {
      graceUntil = now + LAPSE_GRACE_MICROS;
    }
  }

  private void apply(StoreRecord record, long now) {
    Optional<byte[]> value = record.value();
    if (value.isEmpty()) {
      remove(record.key(), now);
      return;
    }
    StoreFollower.each(
        record,
        r -> {
          BackendServer server = BackendDecoder.decode(r.key(), value.get());
          lapsedUntil.remove(r.key());
          BackendServer old = servers.put(r.key(), server);
          changed |= !server.equals(old);
        });
  }

  private void remove(String id, long now) {
    BackendServer server = servers.get(id);
    if (server == null) {
      return;
    }
    if (now < graceUntil && !server.leaving()) {
      lapsedUntil.put(id, graceUntil);
    } else {
      servers.remove(id);
      changed = true;
    }
  }

  /** Drops entries whose grace is over, and returns the list if it has changed since last asked. */
  Optional<List<BackendServer>> takeChange(long now) {
    lapsedUntil
        .entrySet()
        .removeIf(
            e -> {
              boolean over = now >= e.getValue();
              if (over) {
                servers.remove(e.getKey());
                changed = true;
              }
              return over;
            });
    if (!changed) {
      return Optional.empty();
    }
    changed = false;
    return Optional.of(new ArrayList<>(servers.values()));
  }

  int size() {
    return servers.size();
  }
}
