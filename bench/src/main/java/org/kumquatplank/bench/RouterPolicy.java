package org.kumquatplank.bench;

import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.quality.QualityTracker;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.PeerLoad;
import org.kumquatplank.core.routing.Router;
import org.kumquatplank.core.routing.RoutingRequest;

/** The product's own decisions. Not thread-safe. */
final class RouterPolicy implements Policy {
  private final String name;
  private final Router router;
  private final QualityTracker quality = QualityTracker.create();
  private final Configuration configuration;

  RouterPolicy(
      String name, String region, Configuration configuration, InstanceList list, int slots) {
    this.name = name;
    this.configuration = configuration;
    router = Router.create(name, region, quality);
    router.setConfiguration(configuration);
    router.setInstances(list);
    list.instances().forEach(i -> router.setSlots(i.id(), slots));
  }

  void setEntries(List<String> names) {
    router.setEntries(names);
  }

  List<PeerLoad> loads() {
    return router.ownLoads();
  }

  @Override
  public void exchange(List<? extends Policy> all, long now) {
    for (Policy policy : all) {
      if (policy instanceof RouterPolicy peer && peer != this) {
        router.setPeerLoads(peer.name, peer.loads());
        router.setPeerSuspects(peer.router.ownSuspects(now), now);
      }
    }
  }

  @Override
  public List<Action> submit(RoutingRequest request, long now) {
    return router.submit(request, now);
  }

  @Override
  public List<Action> tick(long now) {
    return router.tick(now);
  }

  @Override
  public void firstToken(String workId, long now) {
    router.firstToken(workId, now);
  }

  @Override
  public void tokens(String workId, double microsPerToken, long now) {
    router.tokens(workId, microsPerToken, now);
  }

  @Override
  public List<Action> finished(String workId, long tokens, long now) {
    return router.finished(workId, tokens, true, now);
  }

  @Override
  public Optional<Action.Start> watch(String workId, long silentMicros, long now) {
    boolean suspect = router.silent(workId, silentMicros, now);
    return suspect ? router.restart(workId, true, now) : Optional.empty();
  }

  @Override
  public void rated(String workClass, String version, double rating) {
    configuration.findClass(workClass).ifPresent(c -> quality.rate(c, version, rating));
  }

  @Override
  public void ratingDone(RoutingRequest request, String version) {
    router.ratingDone(request, version);
  }

  @Override
  public double ratedShare(RoutingRequest request, String version, boolean trial) {
    return router.ratedShare(request.workClass(), version, trial);
  }
}
