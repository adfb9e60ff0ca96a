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
import org.kumquatplank.link.PeerLinks;
import org.kumquatplank.link.proto.Frame;
import org.kumquatplank.link.proto.Rating;
import org.kumquatplank.link.proto.Ratings;
import org.kumquatplank.platform.RatingClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects quality ratings of sampled responses and shares them with all peers.
 *
 * <p>Thread-safe.
 */
final class RatingCollector {
  private static final Logger LOG = LoggerFactory.getLogger(RatingCollector.class);
  private static final Duration RATING_TIMEOUT = Duration.ofSeconds(30);

  private final RatingClient ratingService;
  private final ControlThread controlThread;
  private final ControlState state;
  private final ExecutorService executor;
  private final Consumer<Pair> onDemotion;
  private volatile Optional<PeerLinks> link = Optional.empty();

  RatingCollector(
      RatingClient ratingService,
      ControlThread controlThread,
      ControlState state,
      ExecutorService executor,
      Consumer<Pair> onDemotion) {
    this.ratingService = ratingService;
    this.controlThread = controlThread;
    this.state = state;
    this.executor = executor;
    this.onDemotion = onDemotion;
  }

  void setLink(PeerLinks peerLink) {
    link = Optional.of(peerLink);
  }

  /** Requests a rating of a response if the response is selected by random sampling. */
  void sampleForRating(RoutingRequest request, String version, String response, boolean trial) {
    executor.execute(
        () -> {
          double sampleRatio =
              controlThread.call(
                  () -> state.router().ratingSampleRatio(request.workClass(), version, trial));
          if (ThreadLocalRandom.current().nextDouble() < sampleRatio) {
            rate(request, version, response);
          }
        });
  }

  private void rate(RoutingRequest request, String version, String response) {
    Optional<Double> rating =
        ratingService.rate(
            request.workClass().name(), response, Instant.now().plus(RATING_TIMEOUT));
    rating.ifPresent(value -> addAndBroadcast(request.workClass().name(), version, value));
    controlThread.execute(() -> state.router().recordRatingDone(request, version));
  }

  /** Adds a rating and sends it to all connected peers. */
  void addAndBroadcast(String workClass, String version, double value) {
    add(workClass, version, value);
    Rating rating =
        Rating.newBuilder().setWorkClass(workClass).setVersion(version).setValue(value).build();
    link.ifPresent(
        l -> {
          Set<String> peers = l.connectedPeers();
          Ratings batch = Ratings.newBuilder().addRatings(rating).build();
          peers.forEach(peer -> l.send(peer, Frame.newBuilder().setRatings(batch)));
        });
  }

  /** Adds a rating, and records a demotion if it shows that the version misses its target. */
  void add(String workClass, String version, double value) {
    controlThread.execute(
        () -> {
          Optional<WorkClass> configuredClass =
              state.snapshot().configuration().findClass(workClass);
          boolean demoted =
              configuredClass.isPresent()
                  && state.quality().addRating(configuredClass.get(), version, value);
          if (demoted) {
            LOG.atWarn()
                .addKeyValue("event", "version_demoted")
                .addKeyValue("class", workClass)
                .addKeyValue("version", version)
                .log("version {} does not meet the quality target of class {}", version, workClass);
            onDemotion.accept(new Pair(workClass, version));
          }
        });
  }
}
