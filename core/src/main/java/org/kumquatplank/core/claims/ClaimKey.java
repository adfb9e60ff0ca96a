package org.kumquatplank.core.claims;

/**
 * An idempotency key within its client account.
 *
 * @param account name of the client account
 * @param key the key as sent by the caller
 */
public record ClaimKey(String account, String key) {
  /** Returns the partition of this key, in the range 0 to {@code partitions - 1}. */
  public int partition(int partitions) {
    return Math.floorMod(hashCode(), partitions);
  }

  @Override
  public int hashCode() {
    return account.hashCode() * 31 + key.hashCode();
  }
}
