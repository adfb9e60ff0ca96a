package org.kumquatplank.core.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Buffer of the recent changes of a topic, which its reader sends to peers that do not read it.
 *
 * <p>Tolerates lost datagrams: each update repeats the changes of the retention period, so that a
 * peer that missed one or two updates does not have to read the store. Only the newest change of
 * each key is repeated. Not thread-safe.
 *
 * @param <T> change
 */
public final class ChangeBuffer<T> {
  private final long retentionMicros;
  private final Function<T, String> keyOf;
  private final Deque<Batch<T>> batches = new ArrayDeque<>();

  private ChangeBuffer(long retentionMicros, Function<T, String> keyOf) {
    this.retentionMicros = retentionMicros;
    this.keyOf = keyOf;
  }

  /**
   * Returns an empty buffer.
   *
   * @param retentionMicros how long changes are repeated, microseconds
   * @param keyOf returns the key of a change; a later change of the same key replaces it
   */
  public static <T> ChangeBuffer<T> create(long retentionMicros, Function<T, String> keyOf) {
    return new ChangeBuffer<>(retentionMicros, keyOf);
  }

  private record Batch<T>(LogPosition from, LogPosition next, long addedAt, List<T> changes) {}

  /**
   * Adds the changes of a read of the topic and drops batches whose retention has passed.
   *
   * <p>If there is a gap between this read and the previous one, all earlier batches are dropped.
   */
  public void add(TopicUpdate<T> read, long now) {
    if (!batches.isEmpty() && !batches.peekLast().next().equals(read.from())) {
      batches.clear();
    }
    batches.addLast(new Batch<>(read.from(), read.next(), now, read.changes()));
    while (batches.size() > 1 && now - batches.peekFirst().addedAt() > retentionMicros) {
      batches.pollFirst();
    }
  }

  /**
   * Drops the oldest batch.
   *
   * <p>After the last batch is dropped the span is empty and holds only the next offset.
   */
  public void dropOldest() {
    Batch<T> dropped = batches.pollFirst();
    if (dropped != null && batches.isEmpty()) {
      batches.addLast(new Batch<>(dropped.next(), dropped.next(), dropped.addedAt(), List.of()));
    }
  }

  /**
   * Returns the retained changes, the newest of each key, or nothing before the first read was
   * added.
   */
  public Optional<TopicUpdate<T>> bufferedSpan() {
    if (batches.isEmpty()) {
      return Optional.empty();
    }
    Map<String, T> newest = new LinkedHashMap<>();
    for (Batch<T> batch : batches) {
      for (T change : batch.changes()) {
        newest.remove(keyOf.apply(change));
        newest.put(keyOf.apply(change), change);
      }
    }
    List<T> changes = List.copyOf(newest.values());
    return Optional.of(
        new TopicUpdate<>(batches.peekFirst().from(), batches.peekLast().next(), changes));
  }
}
