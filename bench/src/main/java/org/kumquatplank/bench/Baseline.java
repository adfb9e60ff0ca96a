package org.kumquatplank.bench;

import java.util.ArrayList;
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

/** The ways to route that the product is compared with. Not thread-safe. */
final class Baseline implements Policy {
  /** How a baseline chooses. */
  enum Kind {
    ROUND_ROBIN,
    RANDOM_OF_TWO,
    LEAST_OWN_IN_FLIGHT,
    STATIC_SPLIT,
    ALWAYS_BEST,
    ALWAYS_CHEAPEST
  }

  private static final double DEAR_SHARE = 0.5;

  private final Kind kind;
  private final InstanceList list;
  private final List<ModelVersion> byCost;
  private final Random random;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Map<String, String> places = new HashMap<>();
  private int turn;

  Baseline(Kind kind, Configuration configuration, InstanceList list, long seed) {
    this.kind = kind;
    this.list = list;
    random = new Random(seed);
    byCost = new ArrayList<>(configuration.versions().values());
    byCost.sort(Comparator.comparingLong(ModelVersion::completionCost));
  }

  private record Place(String version, String engine) {}

  @Override
  public List<Action> submit(RoutingRequest request, long now) {
    Place place = choose();
    inFlight.merge(place.engine(), 1, Integer::sum);
    places.put(request.id(), place.engine());
    Plan plan = new Plan.Single(place.version(), kind.name(), false);
    return List.of(new Action.Start(request, plan, place.engine()));
  }

  private Place choose() {
    ModelVersion cheapest = byCost.get(0);
    ModelVersion best = byCost.get(byCost.size() - 1);
    return switch (kind) {
      case ROUND_ROBIN -> {
        List<Place> all = allPlaces();
        yield all.get(turn++ % all.size());
      }
      case RANDOM_OF_TWO -> {
        List<Place> all = allPlaces();
        Place a = all.get(random.nextInt(all.size()));
        Place b = all.get(random.nextInt(all.size()));
        yield load(a) <= load(b) ? a : b;
      }
      case LEAST_OWN_IN_FLIGHT -> leastBusy(allPlaces());
      case STATIC_SPLIT -> leastBusy(placesOf(random.nextDouble() < DEAR_SHARE ? best : cheapest));
      case ALWAYS_BEST -> leastBusy(placesOf(best));
      case ALWAYS_CHEAPEST -> leastBusy(placesOf(cheapest));
    };
  }

  private Place leastBusy(List<Place> places) {
    List<Place> shuffled = new ArrayList<>(places);
    java.util.Collections.shuffle(shuffled, random);
    return shuffled.stream().min(Comparator.comparingInt(this::load)).orElseThrow();
  }

  private int load(Place place) {
    return inFlight.getOrDefault(place.engine(), 0);
  }

  private List<Place> allPlaces() {
    List<Place> places = new ArrayList<>();
    byCost.forEach(v -> places.addAll(placesOf(v)));
    return places;
  }

  private List<Place> placesOf(ModelVersion version) {
    return list.enginesOf(version.name()).stream()
        .map(ListedInstance::id)
        .map(id -> new Place(version.name(), id))
        .toList();
  }

  @Override
  public List<Action> finished(String workId, long tokens, long now) {
    inFlight.merge(places.remove(workId), -1, Integer::sum);
    return List.of();
  }
}
