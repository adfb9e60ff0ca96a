package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.catalog.Route;

/**
 * A request as the decisions see it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id unique id
 * @param route class of work
 * @param service service that runs it
 * @param account client account, empty text for none
 * @param priority rank, 0 first
 * @param session name of the session that it belongs to
 * @param parts parts of the prompt in order, the last one its own
 * @param promptTokens tokens to read
 * @param outputTokens most tokens to generate
 * @param arrived time of arrival, microseconds
 * @param deadline time by which it must have its final answer, microseconds
 */
public record DispatchRequest(
    String id,
    Route route,
    String service,
    String account,
    int priority,
    Optional<String> session,
    List<PromptPrefix> parts,
    int promptTokens,
    int outputTokens,
    long arrived,
    long deadline) {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Copies the parts. */
  public DispatchRequest {
    parts = List.copyOf(parts);
  }

  /** Returns the time by which the answer, or its first event, is on time, microseconds. */
  public long target() {
    return arrived + route.targetMillis() * MICROS_PER_MILLI;
  }

  /** Returns the longest beginning of the prompt that other requests may share. */
  public Optional<PromptPrefix> sharedPart() {
    return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
  }

  /** Returns the tokens of the prompt that other requests may share. */
  public int sharedTokens() {
    int sum = 0;
    for (int i = 0; i < parts.size() - 1; i++) {
      sum += parts.get(i).tokens();
    }
    return sum;
  }
}
