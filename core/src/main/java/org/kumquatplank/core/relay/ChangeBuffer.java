package org.kumquatplank.core.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The changes of a topic in the last few seconds, for other instances that do not read it.
 *
 * <p>Answers lost datagrams: each message repeats what the last ones said, so that a receiver which
 * missed one or two of them needs no read of its own. Only the newest change of each key is
 * repeated. Not thread-safe.
 *
 * @param <T> a change
 */
public final class ChangeBuffer<T> {
  private final long keptMicros;
  private final Function<T, String> key;
  private final Deque<Batch<T>> batches = new ArrayDeque<>();

  private ChangeBuffer(long keptMicros, Function<T, String> key) {
    this.keptMicros = keptMicros;
    this.key = key;
  }

  /**
   * Returns an empty buffer.
   *
   * @param keptMicros how long changes are repeated, microseconds
   * @param key what a change is about: a later change of the same key replaces it
   */
  public static <T> ChangeBuffer<T> create(long keptMicros, Function<T, String> key) {
    return new ChangeBuffer<>(keptMicros, key);
  }

  private record Batch<T>(long from, long next, long at, List<T> changes) {}

  /**
   * Changes that cover all offsets from one up to another.
   *
   * @param from first offset that is covered
   * @param next first offset that is not covered any more
   * @param changes the newest change of each key, oldest first
   */
  public record Span<T>(long from, long next, List<T> changes) {
    /** Copies the changes. */
    public Span {
      changes = List.copyOf(changes);
    }
  }

  /** Adds what was read; a gap to what was added before drops that. */
  public void add(long from, long next, List<T> changes, long now) {
    if (!batches.isEmpty() && batches.peekLast().next() != from) {
      batches.clear();
    }
    batches.addLast(new Batch<>(from, next, now, List.copyOf(changes)));
    while (batches.size() > 1 && now - batches.peekFirst().at() > keptMicros) {
      batches.pollFirst();
    }
  }

  /** Drops the oldest changes; after the last ones only the next offset is told. */
  public void dropOldest() {
    Batch<T> dropped = batches.pollFirst();
    if (dropped != null && batches.isEmpty()) {
      batches.addLast(new Batch<>(dropped.next(), dropped.next(), dropped.at(), List.of()));
    }
  }

  /** Returns all changes that are kept, or nothing before the first ones were added. */
  public Optional<Span<T>> span() {
    if (batches.isEmpty()) {
      return Optional.empty();
    }
    Map<String, T> newest = new LinkedHashMap<>();
    for (Batch<T> batch : batches) {
      for (T change : batch.changes()) {
        newest.remove(key.apply(change));
        newest.put(key.apply(change), change);
      }
    }
    List<T> changes = List.copyOf(newest.values());
    return Optional.of(new Span<>(batches.peekFirst().from(), batches.peekLast().next(), changes));
  }
}
