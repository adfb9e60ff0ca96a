package org.kumquatplank.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Optional;
import org.kumquatplank.link.SharedSecret;

/**
 * Issues and verifies session tokens, which pin a caller's session to a model version.
 *
 * <p>A token contains account, class, version and expiry, and is signed with the secret that all
 * instances share, so that every instance can verify it without stored state. Thread-safe.
 */
final class SessionTokens {
  /** Header value with which a caller requests a new session. */
  static final String NEW = "new";

  private static final String ROLE = "session";
  private static final Duration LIFETIME = Duration.ofHours(24);
  private static final int FIELD_COUNT = 4;

  private final SharedSecret secret;
  private final Clock clock;

  SessionTokens(SharedSecret secret, Clock clock) {
    this.secret = secret;
    this.clock = clock;
  }

  /** Returns a signed token that pins the session to the version. */
  String issue(String account, String workClass, String version) {
    long expiry = clock.instant().plus(LIFETIME).getEpochSecond();
    String text = String.join("\n", account, workClass, version, Long.toString(expiry));
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
    return encoder.encodeToString(body)
        + "."
        + encoder.encodeToString(secret.computeMac(ROLE, account, body));
  }

  /** Returns the version in a token, or empty if it is not valid for this account and class. */
  Optional<String> verifiedVersion(String token, String account, String workClass) {
    int separator = token.indexOf('.');
    if (separator < 0) {
      return Optional.empty();
    }
    try {
      byte[] body = Base64.getUrlDecoder().decode(token.substring(0, separator));
      byte[] signature = Base64.getUrlDecoder().decode(token.substring(separator + 1));
      String[] fields = new String(body, StandardCharsets.UTF_8).split("\n", -1);
      boolean valid =
          fields.length == FIELD_COUNT
              && secret.verify(ROLE, account, body, signature)
              && fields[0].equals(account)
              && fields[1].equals(workClass)
              && clock.instant().isBefore(Instant.ofEpochSecond(Long.parseLong(fields[3])));
      return valid ? Optional.of(fields[2]) : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
