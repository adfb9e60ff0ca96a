package org.kumquatplank.bench;

import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.RoutingRequest;

/** The decisions of one instance: ours, or a baseline's. */
interface Policy {
  List<Action> submit(RoutingRequest request, long now);

  default List<Action> tick(long now) {
    return List.of();
  }

  default void firstToken(String workId, long now) {}

  default void tokens(String workId, double microsPerToken, long now) {}

  List<Action> finished(String workId, long tokens, long now);

  /** Looks at a running request and may move it to another engine. */
  default Optional<Action.Start> watch(String workId, long silentMicros, long now) {
    return Optional.empty();
  }

  /** Takes in a rating that any instance got. */
  default void rated(String workClass, String version, double rating) {}

  /** Notes that the rating of a request has come, or never will. */
  default void ratingDone(RoutingRequest request, String version) {}

  /** Returns the share of answers that this policy wants rated. */
  default double ratedShare(RoutingRequest request, String version, boolean trial) {
    return 1;
  }

  /** Takes in what the other instances have under way. */
  default void exchange(List<? extends Policy> all, long now) {}
}
