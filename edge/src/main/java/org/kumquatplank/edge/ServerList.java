package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.BackendDecoder;

/**
 * Maintains the list of backend servers from their records in the store.
 *
 * <p>Entries expire when they are not renewed. An entry that expired during an outage of the store
 * is kept for a grace period after the outage. Confined to the control thread.
 */
final class ServerList {
  /** Grace period: entries that expired during an outage are renewed within 2 s of its end. */
  private static final long EXPIRY_GRACE_MICROS = 2_200_000;

  /** Outages shorter than this are too short for an entry to expire. */
  private static final long MIN_OUTAGE_MICROS = 1_000_000;

  private final Map<String, BackendServer> servers = new HashMap<>();
  private final Map<String, Long> expiredUntil = new HashMap<>();
  private long graceUntil = Long.MIN_VALUE;
  private boolean changed;

  private ServerList() {}

  static ServerList create() {
    return new ServerList();
  }

  void onSnapshot(List<StoreRecord> records, long now) {
    Map<String, StoreRecord> listed = StoreFollower.byKey(records);
    records.forEach(r -> apply(r, now));
    for (String id : List.copyOf(servers.keySet())) {
      if (!listed.containsKey(id) || listed.get(id).value().isEmpty()) {
        remove(id, now);
      }
    }
  }

  /** Applies records, and returns all but those that only renew an entry. */
  List<StoreRecord> onChanges(List<StoreRecord> records, long now) {
    return records.stream().filter(r -> apply(r, now)).toList();
  }

  void onRecovered(long outageMicros, long now) {
    if (outageMicros >= MIN_OUTAGE_MICROS) {
      graceUntil = now + EXPIRY_GRACE_MICROS;
    }
  }

  /** Returns the end of the grace period for expired entries, microseconds. */
  long graceUntil() {
    return graceUntil;
  }

  /** Extends the grace period to the end that a peer has sent. */
  void extendGrace(long until) {
    graceUntil = Math.max(graceUntil, until);
  }

  /**
   * Applies a record, and returns whether it did more than renew an entry.
   *
   * <p>A deletion counts also if the entry is unknown here: a peer may still have it.
   */
  private boolean apply(StoreRecord record, long now) {
    if (record.value().isEmpty()) {
      remove(record.key(), now);
      return true;
    }
    AtomicBoolean differs = new AtomicBoolean();
    StoreFollower.applyOrLog(record, r -> differs.set(put(r.key(), r.value().orElseThrow())));
    changed |= differs.get();
    return differs.get();
  }

  private boolean put(String id, byte[] value) {
    BackendServer server = BackendDecoder.decode(id, value);
    boolean wasExpired = expiredUntil.remove(id) != null;
    return !server.equals(servers.put(id, server)) || wasExpired;
  }

  private void remove(String id, long now) {
    BackendServer server = servers.get(id);
    if (server == null) {
      return;
    }
    if (now < graceUntil && !server.draining()) {
      expiredUntil.put(id, graceUntil);
    } else {
      servers.remove(id);
      changed = true;
    }
  }

  /** Removes entries past their grace period; returns the list if it changed since last time. */
  Optional<List<BackendServer>> takeChange(long now) {
    expiredUntil
        .entrySet()
        .removeIf(
            e -> {
              boolean expired = now >= e.getValue();
              if (expired) {
                servers.remove(e.getKey());
                changed = true;
              }
              return expired;
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
