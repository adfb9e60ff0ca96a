package org.kumquatplank.core.claims;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.kumquatplank.core.claims.ClaimEntry.Claimed;
import org.kumquatplank.core.claims.ClaimEntry.Settled;

/**
 * Deterministic in-memory index of one claims stream.
 *
 * <p>The first claim of a key holds it until its holder settles it as not sent. The state of a key
 * is evicted only when the last log entry behind it has passed retention, so the result does not
 * depend on a clock. Not thread-safe.
 */
final class ClaimIndex {
  private final Map<ClaimKey, KeyState> statesByKey = new HashMap<>();
  private final LinkedHashMap<ClaimKey, Long> lastOffsets = new LinkedHashMap<>();

  /**
   * Nonces of the claims settled as not sent, with the offset of the settlement. Such a claim has
   * no effect if it is appended after that.
   */
  private final LinkedHashMap<String, Long> abandonedNonces = new LinkedHashMap<>();

  /** The state of one key; the outcome is empty while the call has not ended. */
  record KeyState(String fingerprint, String nonce, String holder, Optional<Outcome> outcome) {}

  void apply(long offset, ClaimEntry entry) {
    switch (entry) {
      case Claimed claimed -> applyClaimed(offset, claimed);
      case Settled settled -> applySettled(offset, settled);
    }
  }

  private void applyClaimed(long offset, Claimed c) {
    boolean abandoned = abandonedNonces.containsKey(c.nonce());
    if (abandoned || statesByKey.containsKey(c.key())) {
      return;
    }
    put(offset, c.key(), new KeyState(c.fingerprint(), c.nonce(), c.holder(), Optional.empty()));
  }

  private void applySettled(long offset, Settled s) {
    KeyState current = statesByKey.get(s.key());
    boolean ownClaim = current != null && current.nonce().equals(s.nonce());
    if (s.outcome() instanceof Outcome.NotSent) {
      abandonedNonces.putLast(s.nonce(), offset);
      if (ownClaim && current.outcome().isEmpty()) {
        statesByKey.remove(s.key());
        lastOffsets.remove(s.key());
      }
      return;
    }
    boolean claimEvicted = current == null;
    if (claimEvicted || (ownClaim && current.outcome().isEmpty())) {
      put(offset, s.key(), new KeyState(s.fingerprint(), s.nonce(), "", Optional.of(s.outcome())));
    }
  }

  private void put(long offset, ClaimKey key, KeyState state) {
    statesByKey.put(key, state);
    lastOffsets.remove(key);
    lastOffsets.put(key, offset);
  }

  /** Evicts what rests only on entries with an offset below {@code firstRetained}. */
  void evictBefore(long firstRetained) {
    while (!lastOffsets.isEmpty() && lastOffsets.firstEntry().getValue() < firstRetained) {
      statesByKey.remove(lastOffsets.pollFirstEntry().getKey());
    }
    while (!abandonedNonces.isEmpty() && abandonedNonces.firstEntry().getValue() < firstRetained) {
      abandonedNonces.pollFirstEntry();
    }
  }

  Optional<KeyState> find(ClaimKey key) {
    return Optional.ofNullable(statesByKey.get(key));
  }

  int size() {
    return statesByKey.size();
  }
}
