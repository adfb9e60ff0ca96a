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

/** The policy under test: runs the router of one instance. Not thread-safe. */
final class RouterPolicy implements Policy {
  private final String instanceName;
  private final Router router;
  private final QualityTracker quality = QualityTracker.create();
  private final Configuration configuration;

  RouterPolicy(
      String instanceName,
      String region,
      Configuration configuration,
      InstanceList list,
      int slots) {
    this.instanceName = instanceName;
    this.configuration = configuration;
    router = Router.create(instanceName, region, quality);
    router.setConfiguration(configuration);
    router.setInstanceList(list);
    list.instances().forEach(i -> router.setSlots(i.id(), slots));
  }

  /** Sets the names of all instances, including this one. */
  void setInstanceNames(List<String> names) {
    router.setLiveInstances(names);
  }

  /** Returns the in-flight requests of this instance, by engine. */
  List<PeerLoad> ownLoads() {
    return router.ownLoads();
  }

  @Override
  public void exchangeDigests(List<? extends Policy> all, long now) {
    for (Policy policy : all) {
      if (policy instanceof RouterPolicy peer && peer != this) {
        router.setPeerLoads(peer.instanceName, peer.ownLoads());
        router.recordPeerSuspects(peer.router.ownSuspects(now), now);
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
  public void onFirstToken(String requestId, long now) {
    router.recordFirstToken(requestId, now);
  }

  @Override
  public void onTokens(String requestId, double microsPerToken, long now) {
    router.recordTokenInterval(requestId, microsPerToken, now);
  }

  @Override
  public List<Action> onFinished(String requestId, long tokens, long now) {
    return router.recordEnd(requestId, tokens, true, now);
  }

  @Override
  public Optional<Action.Send> checkSilence(String requestId, long silentMicros, long now) {
    boolean suspect = router.recordSilence(requestId, silentMicros, now);
    return suspect ? router.retry(requestId, true, now) : Optional.empty();
  }

  @Override
  public void addRating(String workClass, String version, double rating) {
    configuration.findClass(workClass).ifPresent(c -> quality.addRating(c, version, rating));
  }

  @Override
  public void onRatingDone(RoutingRequest request, String version) {
    router.recordRatingDone(request, version);
  }

  @Override
  public double ratingSampleRatio(RoutingRequest request, String version, boolean trial) {
    return router.ratingSampleRatio(request.workClass(), version, trial);
  }
}
