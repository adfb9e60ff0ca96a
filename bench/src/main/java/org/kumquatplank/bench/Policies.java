package org.kumquatplank.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Factories of the router policy and of the baselines, by printed name. Stateless. */
final class Policies {
  /** Printed name of the router policy, the only one that is checked against bounds. */
  static final String ROUTER = "kumquatplank";

  private Policies() {}

  /** Returns the factories of all policies, the router policy first. */
  static Map<String, Simulation.PolicyFactory> all() {
    Map<String, Simulation.PolicyFactory> all = new LinkedHashMap<>();
    all.put(ROUTER, Policies::routerPolicy);
    for (BaselinePolicy.Strategy strategy : BaselinePolicy.Strategy.values()) {
      all.put(
          strategy.name().toLowerCase(Locale.ROOT),
          (instance, scenario) ->
              new BaselinePolicy(
                  strategy, scenario.configuration(), scenario.instances(), instance));
    }
    return all;
  }

  /** Returns the router policy of one instance that has all other instances as peers. */
  static Policy routerPolicy(int instance, Scenario scenario) {
    RouterPolicy policy =
        new RouterPolicy(
            "entry-" + instance,
            "region",
            scenario.configuration(),
            scenario.instances(),
            Scenario.SLOTS_PER_ENGINE);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < Scenario.INSTANCES; i++) {
      names.add("entry-" + i);
    }
    policy.setInstanceNames(names);
    return policy;
  }
}
