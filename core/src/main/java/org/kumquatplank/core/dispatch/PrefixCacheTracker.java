package org.kumquatplank.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Which shared parts of prompts this instance believes each backend server to hold.
 *
 * <p>Not thread-safe.
 */
final class PrefixCacheTracker {
  /** Parts yield to others; one that was not used for this long is taken to be gone. */
  private static final long HELD_MICROS = 12_000_000;

  private static final int MOST_ENTRIES = 4_096;

  private final Map<Key, Long> usedAt = new HashMap<>();

  /** A part as one model on one backend server holds it. */
  private record Key(String backend, String model, String part) {}

  void used(String backend, String model, String part, long now) {
    if (usedAt.size() >= MOST_ENTRIES) {
      usedAt.values().removeIf(at -> at < now - HELD_MICROS);
    }
    if (usedAt.size() < MOST_ENTRIES) {
      usedAt.put(new Key(backend, model, part), now);
    }
  }

  boolean holds(String backend, String model, String part, long now) {
    Long at = usedAt.get(new Key(backend, model, part));
    return at != null && now - at < HELD_MICROS;
  }
}
