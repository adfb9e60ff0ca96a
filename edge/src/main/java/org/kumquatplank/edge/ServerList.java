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

  /** Time in which a living server renews its entry, and the store removes that of another. */
  private static final long CONFIRMATION_MICROS = 10_000_000;

  /** Outages shorter than this are too short for an entry to expire. */
  private static final long MIN_OUTAGE_MICROS = 1_000_000;

  private final Map<String, BackendServer> servers = new HashMap<>();
  private final Map<String, Long> expiredUntil = new HashMap<>();
  private final DepartedServers departed = DepartedServers.create();

  /** Entries of a restored copy that contradict what was known. */
  private final Map<String, BackendServer> unconfirmed = new HashMap<>();

  private long unconfirmedUntil = Long.MIN_VALUE;
  private long graceUntil = Long.MIN_VALUE;
  private boolean changed;

  private ServerList() {}

  static ServerList create() {
    return new ServerList();
  }

  void onSnapshot(List<StoreRecord> records, long now) {
    Map<String, StoreRecord> listed = StoreFollower.byKey(records);
    if (now < unconfirmedUntil) {
      records.forEach(r -> applyRestored(r, now));
    } else {
      records.forEach(r -> apply(r, now));
    }
    for (String id : List.copyOf(servers.keySet())) {
      if (!listed.containsKey(id) || listed.get(id).value().isEmpty()) {
        remove(id, now);
      }
    }
  }

  /**
   * Handles the first listing after the store has come back from an older copy.
   *
   * <p>Entries that the copy lacks are kept for the grace period, as after an outage. An entry of a
   * server that has left, of an earlier process of a server, or from before a server began to drain
   * names nobody until the server renews it, or until the store would have removed it.
   */
  void onRestored(List<StoreRecord> records, long now) {
    extendGrace(now + EXPIRY_GRACE_MICROS);
    unconfirmed.clear();
    unconfirmedUntil = now + CONFIRMATION_MICROS;
    onSnapshot(records, now);
  }

  private void applyRestored(StoreRecord record, long now) {
    if (record.value().isPresent()) {
      StoreFollower.applyOrLog(record, r -> putIfCurrent(r.key(), decode(r), now));
    }
  }

  private void putIfCurrent(String id, BackendServer restored, long now) {
    BackendServer known = servers.get(id);
    boolean outdated =
        known == null
            ? departed.startedMillis(id, now) >= restored.startedMillis()
            : restored.startedMillis() < known.startedMillis()
                || (known.draining() && restored.isSameProcess(known));
    if (outdated) {
      unconfirmed.put(id, restored);
    } else {
      changed |= put(id, restored);
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
    StoreFollower.applyOrLog(record, r -> differs.set(put(r.key(), decode(r))));
    changed |= differs.get();
    return differs.get();
  }

  private static BackendServer decode(StoreRecord record) {
    return BackendDecoder.decode(record.key(), record.value().orElseThrow());
  }

  private boolean put(String id, BackendServer server) {
    unconfirmed.remove(id);
    boolean wasExpired = expiredUntil.remove(id) != null;
    return !server.equals(servers.put(id, server)) || wasExpired;
  }

  private void remove(String id, long now) {
    unconfirmed.remove(id);
    BackendServer server = servers.get(id);
    if (server == null) {
      return;
    }
    if (now < graceUntil && !server.draining()) {
      expiredUntil.put(id, graceUntil);
    } else {
      servers.remove(id);
      departed.add(server, now);
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
                departed.add(servers.remove(e.getKey()), now);
                changed = true;
              }
              return expired;
            });
    if (now >= unconfirmedUntil && !unconfirmed.isEmpty()) {
      Map.copyOf(unconfirmed).forEach((id, server) -> changed |= put(id, server));
    }
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
