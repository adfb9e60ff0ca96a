package org.kumquatplank.core.claims;

import java.time.Instant;

/**
 * A call that may run at most once.
 *
 * @param key its key
 * @param method HTTP method
 * @param path path at the service, with the query
 * @param body the body, empty where there is none
 * @param deadline time by which the caller wants the answer
 */
public record NonIdempotentCall(
    ClaimKey key, String method, String path, String body, Instant deadline) {
  /** Returns the digest of this call. */
  public String fingerprint() {
    return Fingerprint.of(method, path, body);
  }
}
