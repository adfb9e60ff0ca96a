package org.kumquatplank.core.catalog;

/**
 * An order of an operator to roll out another software version of a service.
 *
 * @param offset offset of the order in the log; a later order has a higher one
 * @param service name of the service
 * @param targetVersion version to roll out
 * @param durationMillis time within which the rollout must complete, milliseconds
 */
public record RolloutOrder(
    long offset, String service, String targetVersion, long durationMillis) {}
