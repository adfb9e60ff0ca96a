package org.kumquatplank.bench;

import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.RoutingRequest;

/**
 * The routing policy of one simulated instance: the router under test or a baseline.
 *
 * <p>Times are in microseconds of simulated time. Returned actions are to be executed by the
 * caller. Not thread-safe.
 */
interface Policy {
  /** Accepts a new request and returns the actions that follow from it. */
  List<Action> submit(RoutingRequest request, long now);

  /** Re-evaluates queued requests; called at a fixed interval. */
  default List<Action> tick(long now) {
    return List.of();
  }

  /** Records the first token of a running request. */
  default void onFirstToken(String requestId, long now) {}

  /** Records the mean time between tokens over a chunk of a running request. */
  default void onTokens(String requestId, double microsPerToken, long now) {}

  /** Records the end of a request and returns the actions that its free slot allows. */
  List<Action> onFinished(String requestId, long tokens, long now);

  /**
   * Checks how long a running request has been silent.
   *
   * @return the start on another engine if the request is to be moved, otherwise empty
   */
  default Optional<Action.Send> checkSilence(String requestId, long silentMicros, long now) {
    return Optional.empty();
  }

  /** Records a rating that any instance received. */
  default void addRating(String workClass, String version, double rating) {}

  /** Records that no further rating of a request is expected. */
  default void onRatingDone(RoutingRequest request, String version) {}

  /** Returns the fraction of responses that this policy wants rated. */
  default double ratingSampleRatio(RoutingRequest request, String version, boolean trial) {
    return 1;
  }

  /** Reads the digests (in-flight requests and suspected engines) of the other instances. */
  default void exchangeDigests(List<? extends Policy> all, long now) {}
}
