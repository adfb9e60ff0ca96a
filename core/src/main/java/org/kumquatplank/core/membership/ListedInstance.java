package org.kumquatplank.core.membership;

import java.util.Set;

/**
 * One entry of the instance list of the platform.
 *
 * @param id id of the process; a replacement process has another id
 * @param role role of the process
 * @param service name of the plain service, empty for other roles
 * @param host IP address
 * @param port port for requests
 * @param peerPort port of the link between router instances, 0 for other roles
 * @param failureDomain failure domain of the process
 * @param region region of the failure domain
 * @param leaving whether the process is draining and accepts no new requests
 * @param versions names of the model versions that the process serves
 */
public record ListedInstance(
    String id,
    Role role,
    String service,
    String host,
    int port,
    int peerPort,
    String failureDomain,
    String region,
    boolean leaving,
    Set<String> versions) {

  /** Role of a listed process. */
  public enum Role {
    /** An instance of the router. */
    ENTRY,
    /** A backend server that runs models. */
    ENGINE,
    /** A backend server of a plain service. */
    SERVICE
  }

  /** Copies the set. */
  public ListedInstance {
    versions = Set.copyOf(versions);
  }

  /** Returns the address and port for requests. */
  public String endpoint() {
    return host + ":" + port;
  }
}
