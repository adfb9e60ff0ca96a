package org.kumquatplank.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.kumquatplank.core.claims.Fingerprint;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.Request;

/** Authenticates client accounts and operators. Stateless and thread-safe. */
final class Authentication {
  private static final String SCHEME = "Bearer ";

  private Authentication() {}

  /**
   * Returns the client account that the request's credential belongs to.
   *
   * @throws RouterException if the credential is missing or unknown
   */
  static ClientAccount authenticate(Configuration configuration, Request request) {
    byte[] digest = Fingerprint.sha256(credential(request)).getBytes(StandardCharsets.US_ASCII);
    ClientAccount found = null;
    for (ClientAccount account : configuration.accounts().values()) {
      byte[] expected = account.credentialSha256().getBytes(StandardCharsets.US_ASCII);
      found = MessageDigest.isEqual(expected, digest) ? account : found;
    }
    return Optional.ofNullable(found)
        .orElseThrow(
            () ->
                RouterException.notRun(ErrorCode.CREDENTIAL_WRONG, "the credential is not known"));
  }

  /**
   * Checks that the request carries the operators' credential.
   *
   * @throws RouterException if the credential is missing or wrong
   */
  static void requireOperator(String token, Request request) {
    byte[] actual = Fingerprint.sha256(credential(request)).getBytes(StandardCharsets.US_ASCII);
    byte[] expected = Fingerprint.sha256(token).getBytes(StandardCharsets.US_ASCII);
    if (!MessageDigest.isEqual(expected, actual)) {
      throw RouterException.notRun(ErrorCode.CREDENTIAL_WRONG, "the credential is not known");
    }
  }

  private static String credential(Request request) {
    String header = request.headers().first("Authorization").orElse("");
    if (!header.startsWith(SCHEME) || header.length() == SCHEME.length()) {
      throw RouterException.notRun(
          ErrorCode.CREDENTIAL_MISSING, "the header Authorization: Bearer is missing");
    }
    return header.substring(SCHEME.length());
  }
}
