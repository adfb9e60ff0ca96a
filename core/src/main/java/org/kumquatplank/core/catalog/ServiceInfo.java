package org.kumquatplank.core.catalog;

import java.util.Map;

/**
 * Configuration of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name unique name
 * @param connectionLimit maximum number of connections that one backend server accepts from all
 *     callers
 * @param modelCosts cost of each model per 1,000 generated tokens; empty for a plain service
 */
public record ServiceInfo(String name, int connectionLimit, Map<String, Double> modelCosts) {
  /** Copies the costs. */
  public ServiceInfo {
    modelCosts = Map.copyOf(modelCosts);
  }

  /** Returns whether the backend servers of the service run models. */
  public boolean isEngine() {
    return !modelCosts.isEmpty();
  }
}
