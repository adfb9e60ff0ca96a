package org.kumquatplank.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.Plan;
import org.kumquatplank.core.routing.RoutingRequest;

/**
 * A simple routing policy that the router is compared with.
 *
 * <p>It sends every request at once and sees only the in-flight requests of its own instance. Not
 * thread-safe.
 */
final class BaselinePolicy implements Policy {
  /** How the baseline selects the model version and the engine. */
  enum Strategy {
    ROUND_ROBIN,
    RANDOM_OF_TWO,
    LEAST_OWN_IN_FLIGHT,
    STATIC_SPLIT,
    ALWAYS_BEST,
    ALWAYS_CHEAPEST
  }

  /** Fraction of the requests that {@link Strategy#STATIC_SPLIT} sends to the best version. */
  private static final double BEST_VERSION_RATIO = 0.5;

  private final Strategy strategy;
  private final InstanceList instances;
  private final List<ModelVersion> versionsByCost;
  private final Random random;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Map<String, String> engineByRequest = new HashMap<>();
  private int nextIndex;

  BaselinePolicy(
      Strategy strategy, Configuration configuration, InstanceList instances, long seed) {
    this.strategy = strategy;
    this.instances = instances;
    random = new Random(seed);
    versionsByCost = new ArrayList<>(configuration.versions().values());
    versionsByCost.sort(Comparator.comparingLong(ModelVersion::completionCost));
  }

  /** A model version and an engine that serves it. */
  private record Placement(String version, String engine) {}

  @Override
  public List<Action> submit(RoutingRequest request, long now) {
    Placement placement = selectPlacement();
    inFlight.merge(placement.engine(), 1, Integer::sum);
    engineByRequest.put(request.id(), placement.engine());
    Plan plan = new Plan.Single(placement.version(), strategy.name(), false);
    return List.of(new Action.Send(request, plan, placement.engine()));
  }

  private Placement selectPlacement() {
    ModelVersion cheapest = versionsByCost.get(0);
    ModelVersion best = versionsByCost.get(versionsByCost.size() - 1);
    return switch (strategy) {
      case ROUND_ROBIN -> {
        List<Placement> candidates = allPlacements();
        yield candidates.get(nextIndex++ % candidates.size());
      }
      case RANDOM_OF_TWO -> {
        List<Placement> candidates = allPlacements();
        Placement first = candidates.get(random.nextInt(candidates.size()));
        Placement second = candidates.get(random.nextInt(candidates.size()));
        yield inFlightAt(first) <= inFlightAt(second) ? first : second;
      }
      case LEAST_OWN_IN_FLIGHT -> leastLoaded(allPlacements());
      case STATIC_SPLIT ->
          leastLoaded(placementsOf(random.nextDouble() < BEST_VERSION_RATIO ? best : cheapest));
      case ALWAYS_BEST -> leastLoaded(placementsOf(best));
      case ALWAYS_CHEAPEST -> leastLoaded(placementsOf(cheapest));
    };
  }

  private Placement leastLoaded(List<Placement> placements) {
    List<Placement> shuffled = new ArrayList<>(placements);
    Collections.shuffle(shuffled, random);
    return shuffled.stream().min(Comparator.comparingInt(this::inFlightAt)).orElseThrow();
  }

  private int inFlightAt(Placement placement) {
    return inFlight.getOrDefault(placement.engine(), 0);
  }

  private List<Placement> allPlacements() {
    List<Placement> placements = new ArrayList<>();
    versionsByCost.forEach(v -> placements.addAll(placementsOf(v)));
    return placements;
  }

  private List<Placement> placementsOf(ModelVersion version) {
    return instances.enginesServing(version.name()).stream()
        .map(ListedInstance::id)
        .map(id -> new Placement(version.name(), id))
        .toList();
  }

  @Override
  public List<Action> onFinished(String requestId, long tokens, long now) {
    inFlight.merge(engineByRequest.remove(requestId), -1, Integer::sum);
    return List.of();
  }
}
