package org.kumquatplank.core.catalog;

/**
 * A service and its part of the work of a route.
 *
 * @param service name of the service
 * @param weight part, against the sum of all parts of the route
 */
public record ServiceShare(String service, int weight) {}
