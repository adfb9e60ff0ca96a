package org.kumquatplank.core.claims;

/** One entry of a claims stream. */
public sealed interface ClaimEntry {
  /** Returns the key that this entry refers to. */
  ClaimKey key();

  /** Returns the nonce of the claim that this entry refers to. */
  String nonce();

  /**
   * A claim: an instance requests the right to dispatch a call.
   *
   * @param fingerprint digest of the call, see {@link Fingerprint}
   * @param nonce unique identifier of this claim
   * @param holder identity of the claiming process
   */
  record Claimed(ClaimKey key, String fingerprint, String nonce, String holder)
      implements ClaimEntry {}

  /**
   * A settlement: the holder of a claim records the outcome of the call.
   *
   * @param fingerprint digest of the call
   * @param nonce the nonce of the claim
   * @param outcome outcome of the call
   */
  record Settled(ClaimKey key, String fingerprint, String nonce, Outcome outcome)
      implements ClaimEntry {}
}
