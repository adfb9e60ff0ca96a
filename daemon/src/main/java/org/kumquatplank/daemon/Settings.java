package org.kumquatplank.daemon;

import java.time.Duration;

/**
 * Validated settings of one process.
 *
 * @param instance id of this process, different from that of any earlier process
 * @param listen listen address for callers
 * @param adminListen listen address for operators
 * @param peerListen listen address for peers
 * @param platform endpoint of the platform
 * @param failureDomain failure domain of this instance
 * @param region region of this instance
 * @param claimPartitions number of claim streams in the log
 * @param drainLimit maximum duration of a graceful shutdown
 * @param addressLifetime time for which callers may cache the list of addresses
 * @param jsonLogs whether log lines are written as JSON
 * @param adminToken credential of the operators
 * @param peerSecret secret shared by all instances
 */
public record Settings(
    String instance,
    Endpoint listen,
    Endpoint adminListen,
    Endpoint peerListen,
    Endpoint platform,
    String failureDomain,
    String region,
    int claimPartitions,
    Duration drainLimit,
    Duration addressLifetime,
    boolean jsonLogs,
    String adminToken,
    String peerSecret) {

  /**
   * IP address and port.
   *
   * @param host IP address
   * @param port port
   */
  public record Endpoint(String host, int port) {
    @Override
    public String toString() {
      return host + ":" + port;
    }
  }
}
