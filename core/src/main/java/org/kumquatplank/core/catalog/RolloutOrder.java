package org.kumquatplank.core.catalog;

import org.kumquatplank.core.relay.LogPosition;

/**
 * An order of an operator to roll out another software version of a service.
 *
 * @param position position of the order in the log
 * @param service name of the service
 * @param targetVersion version to roll out
 * @param durationMillis time within which the rollout must complete, milliseconds
 */
public record RolloutOrder(
    LogPosition position, String service, String targetVersion, long durationMillis) {}
