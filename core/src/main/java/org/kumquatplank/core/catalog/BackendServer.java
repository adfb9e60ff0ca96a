package org.kumquatplank.core.catalog;

/**
 * Registration of a backend server.
 *
 * <p>A process is identified by its name together with its start time, because a later process may
 * have the same name or the same address. Immutable and thread-safe.
 *
 * @param id name
 * @param startedMillis start time in Unix milliseconds, 0 if unknown
 * @param service service that the server belongs to
 * @param host IP address
 * @param port port
 * @param failureDomain failure domain
 * @param softwareVersion version of the server software
 * @param slots maximum number of concurrent requests
 * @param coldRemainingMillis time for which the server remains cold, as of its registration,
 *     milliseconds; 0 if it is warm
 * @param draining whether the server is draining and accepts no new requests
 */
public record BackendServer(
    String id,
    long startedMillis,
    String service,
    String host,
    int port,
    String failureDomain,
    String softwareVersion,
    int slots,
    long coldRemainingMillis,
    boolean draining) {
  /**
   * Compares all components.
   *
   * <p>Written by hand because linking the generated method at its first use takes a tenth of the
   * startup time of an instance.
   */
  @Override
  public boolean equals(Object o) {
    return o instanceof BackendServer other
        && isSameProcess(other)
        && service.equals(other.service)
        && failureDomain.equals(other.failureDomain)
        && softwareVersion.equals(other.softwareVersion)
        && slots == other.slots
        && coldRemainingMillis == other.coldRemainingMillis
        && draining == other.draining;
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
