package org.kumquatplank.core.claims;

import java.time.Instant;
import java.util.Optional;

/** Durable store of claims and their outcomes. Implementations are thread-safe and may block. */
public interface ClaimStore {
  /** Makes the claim durable and returns whether it is the first of its key. */
  ClaimDecision claim(ClaimEntry.Claimed claim, Instant deadline);

  /**
   * Makes the outcome of a call durable.
   *
   * @return whether the outcome is durable; if not, the same settlement may be retried
   */
  boolean settle(ClaimEntry.Settled settled, Instant deadline);

  /** Returns the outcome of the call with this key, or empty if the log has none yet. */
  Optional<Outcome> find(ClaimKey key, Instant deadline);
}
