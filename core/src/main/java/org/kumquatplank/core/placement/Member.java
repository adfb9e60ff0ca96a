package org.kumquatplank.core.placement;

/**
 * An instance that accepts requests and may send them to backend servers.
 *
 * @param name name of the instance
 * @param failureDomain failure domain of the instance
 * @param region region of the failure domain
 */
public record Member(String name, String failureDomain, String region) {}
