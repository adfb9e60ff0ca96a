package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.catalog.Route;

/**
 * Properties of a request on which dispatch decisions depend.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id unique id
 * @param route route that the request matched
 * @param service service that runs the request
 * @param account client account, empty if there is none
 * @param priority priority, 0 being the most urgent
 * @param regions regions in which the request may be served, by its route and client account
 * @param session session that the request belongs to
 * @param promptSegments segments of the prompt in order; the last one belongs to this request alone
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens maximum number of tokens to generate
 * @param arrivalMicros time of arrival, microseconds
 * @param deadlineMicros time by which the response must be complete, microseconds
 */
public record DispatchRequest(
    String id,
    Route route,
    String service,
    String account,
    int priority,
    RegionRule regions,
    Optional<String> session,
    List<PromptSegment> promptSegments,
    int promptTokens,
    int maxOutputTokens,
    long arrivalMicros,
    long deadlineMicros) {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Copies the segments. */
  public DispatchRequest {
    promptSegments = List.copyOf(promptSegments);
  }

  /** Returns the time by which the response, or its first event, is due, microseconds. */
  public long targetMicros() {
    return arrivalMicros + route.latencyTargetMillis() * MICROS_PER_MILLI;
  }

  /** Returns the segments that other requests may share, in order. */
  public List<PromptSegment> sharedSegments() {
    return promptSegments.subList(0, Math.max(0, promptSegments.size() - 1));
  }

  /** Returns the last shareable segment, whose id identifies the longest shared prompt prefix. */
  public Optional<PromptSegment> lastSharedSegment() {
    return promptSegments.size() < 2
        ? Optional.empty()
        : Optional.of(promptSegments.get(promptSegments.size() - 2));
  }

  /** Returns the number of tokens of the shared prompt prefix. */
  public int sharedPrefixTokens() {
    return sharedSegments().stream().mapToInt(PromptSegment::tokens).sum();
  }
}
