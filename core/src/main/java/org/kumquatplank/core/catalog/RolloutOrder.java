package org.kumquatplank.core.catalog;

/**
 * An operator's order to move a service to another version of its software.
 *
 * @param number position of the order in the log: a later order has a higher one
 * @param service name of the service
 * @param target version to move to
 * @param durationMillis time in which it has to be done, milliseconds
 */
public record RolloutOrder(long number, String service, String target, long durationMillis) {}
