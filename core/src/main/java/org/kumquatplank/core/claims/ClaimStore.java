package org.kumquatplank.core.claims;

import java.time.Instant;
import java.util.Optional;

/** Where claims are made and settled. Implementations are thread-safe and may block. */
public interface ClaimStore {
  /** Makes the claim durable and says whether it came first. */
  ClaimDecision claim(ClaimEntry.Claimed claim, Instant deadline);

  /**
   * Makes the end of a call durable.
   *
   * @return whether it is durable; when not, the same settlement may be tried again
   */
  boolean settle(ClaimEntry.Settled settled, Instant deadline);

  /** Returns how the call under the key ended, if the log knows by now. */
  Optional<Outcome> find(ClaimKey key, Instant deadline);
}
