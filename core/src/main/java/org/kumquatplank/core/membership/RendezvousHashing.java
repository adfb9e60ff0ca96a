package org.kumquatplank.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: all instances with the same candidates make the same choice, and the removal
 * of a candidate reassigns only its own keys.
 *
 * <p>Stateless and thread-safe.
 */
public final class RendezvousHashing {
  private static final long MIX_1 = 0xff51afd7ed558ccdL;
  private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;

  private RendezvousHashing() {}

  /** Returns the candidates in descending order of weight for the key. */
  public static List<String> rank(String key, Collection<String> candidates) {
    return candidates.stream()
        .sorted(
            Comparator.comparingLong((String candidate) -> weight(key, candidate))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /** Returns the weight of one candidate for the key. */
  public static long weight(String key, String candidate) {
    long hash = 1125899906842597L;
    for (int i = 0; i < key.length(); i++) {
      hash = 31 * hash + key.charAt(i);
    }
    hash = mix(hash);
    for (int i = 0; i < candidate.length(); i++) {
      hash = 31 * hash + candidate.charAt(i);
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long h = value;
    h ^= h >>> 33;
    h *= MIX_1;
    h ^= h >>> 33;
    h *= MIX_2;
    h ^= h >>> 33;
    return h;
  }
}
