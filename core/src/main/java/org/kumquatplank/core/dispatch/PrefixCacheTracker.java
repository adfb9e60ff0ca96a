package org.kumquatplank.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the shared prompt prefixes that the prefix cache of each backend server is assumed to
 * hold.
 *
 * <p>Not thread-safe.
 */
final class PrefixCacheTracker {
  /** Time without use after which a prefix is assumed to be evicted. */
  private static final long RETENTION_MICROS = 12_000_000;

  private static final int MAX_ENTRIES = 4_096;

  private final Map<Key, Long> lastUsedAt = new HashMap<>();

  /** A prompt prefix in the cache of one model on one backend server. */
  private record Key(String backendId, String model, String prefix) {}

  void recordUse(String backendId, String model, String prefix, long now) {
    if (lastUsedAt.size() >= MAX_ENTRIES) {
      lastUsedAt.values().removeIf(at -> at < now - RETENTION_MICROS);
    }
    if (lastUsedAt.size() < MAX_ENTRIES) {
      lastUsedAt.put(new Key(backendId, model, prefix), now);
    }
  }

  boolean isCached(String backendId, String model, String prefix, long now) {
    Long at = lastUsedAt.get(new Key(backendId, model, prefix));
    return at != null && now - at < RETENTION_MICROS;
  }
}
