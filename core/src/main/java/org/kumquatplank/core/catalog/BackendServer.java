package org.kumquatplank.core.catalog;

/**
 * A backend server as it registered itself.
 *
 * <p>Immutable and thread-safe. Its identity is its name together with the time of its start: a
 * later process may have the same name or the same address.
 *
 * @param id name
 * @param startedMillis Unix millisecond of its start, 0 when unknown
 * @param service service that it belongs to
 * @param host IP address
 * @param port port
 * @param zone failure domain
 * @param softwareVersion version of its software
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 */
public record BackendServer(
    String id,
    long startedMillis,
    String service,
    String host,
    int port,
    String zone,
    String softwareVersion,
    int slots,
    boolean leaving) {
  /** Returns whether both describe the same process. */
  public boolean isSameProcess(BackendServer other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && port == other.port
        && host.equals(other.host);
  }
}
