package org.kumquatplank.core.catalog;

import java.util.Map;

/**
 * What is known of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name unique name
 * @param connectionLimit most connections that one of its backend servers takes from all callers
 * @param modelCosts cost of each model for 1,000 generated tokens; empty for a plain service
 */
public record ServiceInfo(String name, int connectionLimit, Map<String, Double> modelCosts) {
  /** Copies the costs. */
  public ServiceInfo {
    modelCosts = Map.copyOf(modelCosts);
  }

  /** Returns whether its backend servers run models. */
  public boolean isEngine() {
    return !modelCosts.isEmpty();
  }
}
