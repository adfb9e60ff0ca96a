package org.kumquatplank.core.claims;

import java.time.Instant;

/**
 * A call that may run at most once.
 *
 * @param key idempotency key of the call
 * @param method HTTP method
 * @param path path at the service, including the query string
 * @param body request body, or an empty string
 * @param deadline time by which the caller needs the response
 */
public record NonIdempotentCall(
    ClaimKey key, String method, String path, String body, Instant deadline) {
  /** Returns the fingerprint of this call, see {@link Fingerprint}. */
  public String fingerprint() {
    return Fingerprint.of(method, path, body);
  }
}
