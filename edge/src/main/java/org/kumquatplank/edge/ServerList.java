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

  /** Takes records, and returns those that changed something. */
  List<StoreRecord> onChanges(List<StoreRecord> records, long now) {
    return records.stream().filter(r -> apply(r, now)).toList();
  }

  void onRegained(long outageMicros, long now) {
    if (outageMicros >= LEAST_OUTAGE_MICROS) {
      graceUntil = now + LAPSE_GRACE_MICROS;
    }
  }

  /** Returns until when entries that lapse still count, microseconds. */
  long graceUntil() {
    return graceUntil;
  }

  /** Notes what another instance knows of an outage of the store. */
  void extendGrace(long until) {
    graceUntil = Math.max(graceUntil, until);
  }

  /** Applies a record, and returns whether it changed more than the time of the last sign. */
  private boolean apply(StoreRecord record, long now) {
    if (record.value().isEmpty()) {
      boolean known = servers.containsKey(record.key());
      remove(record.key(), now);
      return known;
    }
    AtomicBoolean differs = new AtomicBoolean();
    StoreFollower.each(record, r -> differs.set(put(r.key(), r.value().orElseThrow())));
    changed |= differs.get();
    return differs.get();
  }

  private boolean put(String id, byte[] value) {
    BackendServer server = BackendDecoder.decode(id, value);
    boolean lapsed = lapsedUntil.remove(id) != null;
    return !server.equals(servers.put(id, server)) || lapsed;
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
