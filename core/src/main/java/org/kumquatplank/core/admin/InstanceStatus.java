package org.kumquatplank.core.admin;

import java.util.List;

/**
 * The state of one instance, and its view of its peers and of the backend servers.
 *
 * @param instance identity of the instance
 * @param config_version version of the configuration in force at the instance
 * @param fresh whether that version is confirmed to be the newest
 * @param log_reachable whether the instance can reach the log
 * @param draining whether the instance is draining before it shuts down
 * @param waiting number of requests in the queues of its router
 * @param entries the listed instances
 * @param backends the listed backend servers
 */
public record InstanceStatus(
    String instance,
    long config_version,
    boolean fresh,
    boolean log_reachable,
    boolean draining,
    int waiting,
    List<EntryStatus> entries,
    List<BackendStatus> backends) {

  /**
   * The state of one listed instance.
   *
   * @param instance identity of the instance
   * @param address address to which callers connect
   * @param failure_domain failure domain of the instance
   * @param leaving whether the list marks the instance as leaving
   * @param draining whether the instance reports that it is draining
   * @param config_version configuration version that the instance confirmed, or null if no message
   *     from it was received
   */
  public record EntryStatus(
      String instance,
      String address,
      String failure_domain,
      boolean leaving,
      boolean draining,
      Long config_version) {}

  /**
   * The state of one listed backend server.
   *
   * @param instance identity of the backend server
   * @param role engine or service
   * @param failure_domain failure domain of the backend server
   * @param leaving whether the list marks the backend server as leaving
   * @param serves model versions, or the plain service, that it serves
   */
  public record BackendStatus(
      String instance, String role, String failure_domain, boolean leaving, String serves) {}
}
