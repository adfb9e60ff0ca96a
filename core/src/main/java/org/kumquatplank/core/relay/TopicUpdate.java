package org.kumquatplank.core.relay;

import java.util.List;

/**
 * The changes of a contiguous range of offsets of a topic.
 *
 * <p>Immutable and thread-safe.
 *
 * @param from first offset of the range
 * @param next first offset after the range
 * @param changes the changes, oldest first
 * @param <T> change
 */
public record TopicUpdate<T>(long from, long next, List<T> changes) {
  /** Copies the changes. */
  public TopicUpdate {
    changes = List.copyOf(changes);
  }
}
