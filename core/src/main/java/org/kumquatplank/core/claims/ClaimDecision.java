package org.kumquatplank.core.claims;

/** The result of a claim. */
public sealed interface ClaimDecision {
  /** This claim is the first of its key: only its holder may dispatch the call, and only once. */
  record Granted() implements ClaimDecision {}

  /**
   * The call has already ended.
   *
   * @param outcome the recorded outcome
   */
  record AlreadyEnded(Outcome outcome) implements ClaimDecision {}

  /**
   * An earlier claim holds the key and its call has not ended.
   *
   * @param holder identity of the process that made the earlier claim
   */
  record HeldByOther(String holder) implements ClaimDecision {}

  /** The key was already used for a call with a different fingerprint. */
  record KeyReused() implements ClaimDecision {}

  /**
   * The log did not confirm the claim. The claim may still be appended later, so the call must not
   * be dispatched.
   *
   * @param reason description of the failure
   * @param neverClaimed whether the log was read to its end after the claim was made and holds no
   *     other claim of the key; only then is it certain that nothing ran under the key
   */
  record Unavailable(String reason, boolean neverClaimed) implements ClaimDecision {}
}
