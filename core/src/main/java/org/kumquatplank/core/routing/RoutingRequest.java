package org.kumquatplank.core.routing;

import java.util.Optional;
import org.kumquatplank.core.config.WorkClass;

/**
 * A request as the decisions see it.
 *
 * @param id unique name
 * @param account name of the client account
 * @param workClass class of work
 * @param promptTokens tokens to read
 * @param pinned version that the session keeps, or the cascade asks for
 * @param session whether the caller wants later requests on the same version
 * @param arrived time of arrival, microseconds
 */
public record RoutingRequest(
    String id,
    String account,
    WorkClass workClass,
    long promptTokens,
    Optional<String> pinned,
    boolean session,
    long arrived) {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Returns the time by which the whole answer is due, microseconds. */
  public long finishDeadline() {
    return arrived + workClass.finishMillis() * MICROS_PER_MILLI;
  }

  /** Returns the time by which the first token is due, microseconds. */
  public long firstTokenDeadline() {
    return arrived + workClass.firstTokenMillis() * MICROS_PER_MILLI;
  }
}
