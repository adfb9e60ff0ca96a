package org.kumquatplank.core.relay;

import java.util.List;

/**
 * The changes of a contiguous range of offsets of a topic.
 *
 * <p>Immutable and thread-safe.
 *
 * @param from first position of the range
 * @param next first position after the range, of the same era
 * @param changes the changes, oldest first
 * @param <T> change
 */
public record TopicUpdate<T>(LogPosition from, LogPosition next, List<T> changes) {
  /** Copies the changes. */
  public TopicUpdate {
    if (!from.isInEraOf(next)) {
      throw new IllegalArgumentException("range over two eras: " + from + " to " + next);
    }
    changes = List.copyOf(changes);
  }

  /** Returns an update for the offsets of an era from {@code from} to before {@code next}. */
  public static <T> TopicUpdate<T> of(long era, long from, long next, List<T> changes) {
    return new TopicUpdate<>(LogPosition.of(era, from), LogPosition.of(era, next), changes);
  }
}
