package org.kumquatplank.core.admin;

import java.util.List;

/**
 * The progress of a published configuration version across the instances.
 *
 * @param version version of the configuration
 * @param in_force whether every listed instance has confirmed the version
 * @param confirmed instances that have confirmed it
 * @param missing instances that have not confirmed it yet
 */
public record PublishStatus(
    long version, boolean in_force, List<String> confirmed, List<String> missing) {}
