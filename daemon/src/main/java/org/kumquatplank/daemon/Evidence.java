package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.quality.QualityTracker.Pair;
import org.kumquatplank.core.routing.RoutingRequest;
import org.kumquatplank.link.PeerLink;
import org.kumquatplank.link.proto.Frame;
import org.kumquatplank.link.proto.Rating;
import org.kumquatplank.link.proto.Ratings;
import org.kumquatplank.platform.PlatformRatings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Has a sample of answers rated and shares the ratings with all peers. Thread-safe. */
final class Evidence {
  private static final Logger LOG = LoggerFactory.getLogger(Evidence.class);
  private static final Duration RATING_WAIT = Duration.ofSeconds(30);

  private final PlatformRatings ratings;
  private final Control control;
  private final ControlState state;
  private final ExecutorService executor;
  private final Consumer<Pair> onDemotion;
  private volatile Optional<PeerLink> link = Optional.empty();

  Evidence(
      PlatformRatings ratings,
      Control control,
      ControlState state,
      ExecutorService executor,
      Consumer<Pair> onDemotion) {
    this.ratings = ratings;
    this.control = control;
    this.state = state;
    this.executor = executor;
    this.onDemotion = onDemotion;
  }

  void setLink(PeerLink newLink) {
    link = Optional.of(newLink);
  }

  /** Has an answer rated if it belongs to the sample. */
  void sample(RoutingRequest request, String version, String answer, boolean trial) {
    executor.execute(
        () -> {
          double share =
              control.ask(() -> state.router().ratedShare(request.workClass(), version, trial));
          if (ThreadLocalRandom.current().nextDouble() < share) {
            rate(request, version, answer);
          }
        });
  }

  private void rate(RoutingRequest request, String version, String answer) {
    Optional<Double> rating =
        ratings.rate(request.workClass().name(), answer, Instant.now().plus(RATING_WAIT));
    rating.ifPresent(value -> share(request.workClass().name(), version, value));
    control.run(() -> state.router().ratingDone(request, version));
  }

  /** Takes in a rating and tells all peers of it. */
  void share(String workClass, String version, double value) {
    fromPeer(workClass, version, value);
    Rating rating =
        Rating.newBuilder().setWorkClass(workClass).setVersion(version).setValue(value).build();
    link.ifPresent(
        l -> {
          Set<String> peers = l.connected();
          Ratings batch = Ratings.newBuilder().addRatings(rating).build();
          peers.forEach(peer -> l.send(peer, Frame.newBuilder().setRatings(batch)));
        });
  }

  /** Takes in a rating that a peer got. */
  void fromPeer(String workClass, String version, double value) {
    control.run(
        () -> {
          Optional<WorkClass> known = state.snapshot().configuration().findClass(workClass);
          boolean alarm = known.isPresent() && state.quality().rate(known.get(), version, value);
          if (alarm) {
            LOG.atWarn()
                .addKeyValue("event", "version_demoted")
                .addKeyValue("class", workClass)
                .addKeyValue("version", version)
                .log("version {} misses the target of class {}", version, workClass);
            onDemotion.accept(new Pair(workClass, version));
          }
        });
  }
}
