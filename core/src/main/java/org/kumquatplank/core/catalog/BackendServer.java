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
  /**
   * Compares all components.
   *
   * <p>Written out because the generated method is linked at its first use, which takes a tenth of
   * the time that an instance needs to start.
   */
  @Override
  public boolean equals(Object o) {
    return o instanceof BackendServer other
        && isSameProcess(other)
        && service.equals(other.service)
        && zone.equals(other.zone)
        && softwareVersion.equals(other.softwareVersion)
        && slots == other.slots
        && leaving == other.leaving;
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(startedMillis);
  }

  /** Returns whether both describe the same process. */
  public boolean isSameProcess(BackendServer other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && port == other.port
        && host.equals(other.host);
  }
}
