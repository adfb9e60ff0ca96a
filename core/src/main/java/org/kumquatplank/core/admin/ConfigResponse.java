package org.kumquatplank.core.admin;

import com.google.gson.JsonElement;

/**
 * The configuration in force at an instance.
 *
 * @param version version of the configuration
 * @param document the configuration in the format of a configuration file
 */
public record ConfigResponse(long version, JsonElement document) {}
