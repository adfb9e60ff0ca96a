package org.kumquatplank.core.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * Configuration of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name unique name
 * @param connectionLimit maximum number of connections that one backend server accepts from all
 *     callers
 * @param coldStart behaviour of cold backend servers, if they have to be spared
 * @param modelCosts cost of each model per 1,000 generated tokens; empty for a plain service
 */
public record ServiceInfo(
    String name,
    int connectionLimit,
    Optional<ColdStart> coldStart,
    Map<String, Double> modelCosts) {
  /** Copies the costs. */
  public ServiceInfo {
    modelCosts = Map.copyOf(modelCosts);
  }

  /** Returns whether the backend servers of the service run models. */
  public boolean isEngine() {
    return !modelCosts.isEmpty();
  }
}
