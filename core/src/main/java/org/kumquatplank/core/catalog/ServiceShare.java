package org.kumquatplank.core.catalog;

/**
 * A service and its weighted share of the requests of a route.
 *
 * @param service name of the service
 * @param weight weight, relative to the sum of all weights of the route
 */
public record ServiceShare(String service, int weight) {}
