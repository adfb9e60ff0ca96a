package org.kumquatplank.core.admin;

import com.google.gson.JsonElement;

/**
 * A request to publish a configuration change.
 *
 * @param base version that the change is based on
 * @param author name of the operator who publishes the change
 * @param ops the operations, see {@link org.kumquatplank.core.config.ConfigCodec#opsToJson}
 */
public record PublishRequest(Long base, String author, JsonElement ops) {}
