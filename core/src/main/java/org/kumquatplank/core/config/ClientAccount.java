package org.kumquatplank.core.config;

import java.util.Set;

/**
 * A client account and its permissions.
 *
 * @param name unique name
 * @param credentialSha256 SHA-256 of the account's credential, 64 hexadecimal digits
 * @param classes names of the work classes it may use
 * @param versions names of the model versions it may use; {@code *} matches every version
 * @param services names of the plain services it may use
 */
public record ClientAccount(
    String name,
    String credentialSha256,
    Set<String> classes,
    Set<String> versions,
    Set<String> services)
    implements Named {
  private static final String WILDCARD = "*";

  /** Copies the sets, so that the record is immutable. */
  public ClientAccount {
    classes = Set.copyOf(classes);
    versions = Set.copyOf(versions);
    services = Set.copyOf(services);
  }

  /** Returns whether requests of this account may be sent to the model version. */
  public boolean allowsVersion(String version) {
    return versions.contains(WILDCARD) || versions.contains(version);
  }
}
