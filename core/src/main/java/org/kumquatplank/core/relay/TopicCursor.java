package org.kumquatplank.core.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;

/**
 * The position of an instance in a topic, whose changes it reads or receives from peers.
 *
 * <p>All changes below the next offset have been applied. Not thread-safe.
 *
 * @param <T> change
 */
public final class TopicCursor<T> {
  private static final long UNKNOWN = -1;

  private final ToLongFunction<T> offsetOf;
  private final Function<T, String> keyOf;
  private final Map<String, T> receivedWhileListing = new LinkedHashMap<>();
  private long nextOffset = UNKNOWN;
  private boolean listing;
  private long listedUntil = UNKNOWN;
  private boolean gap;

  private TopicCursor(ToLongFunction<T> offsetOf, Function<T, String> keyOf) {
    this.offsetOf = offsetOf;
    this.keyOf = keyOf;
  }

  /**
   * Returns a cursor whose position is unknown until the first listing.
   *
   * @param offsetOf returns the offset of a change
   * @param keyOf returns the key of a change; a later change of the same key replaces it
   */
  public static <T> TopicCursor<T> create(ToLongFunction<T> offsetOf, Function<T, String> keyOf) {
    return new TopicCursor<>(offsetOf, keyOf);
  }

  /** Returns the offset below which all changes have been applied, or -1 if it is unknown. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns whether a peer has sent later changes than the next ones, so that some are missing. */
  public boolean hasGap() {
    return gap;
  }

  /** Records that a peer has applied later changes. */
  public void markGap() {
    gap = true;
  }

  /** Records that a listing of the newest records has begun. */
  public void beginListing() {
    listing = true;
  }

  /** Returns whether a listing has begun and is not complete. */
  public boolean isListing() {
    return listing;
  }

  /**
   * Records that a listing is complete.
   *
   * @param listed the newest record of each key, and the end of the log when the listing began
   * @return the newest record of each key, including those that peers sent during the listing
   */
  public List<T> onListed(TopicUpdate<T> listed) {
    Map<String, T> newest = new LinkedHashMap<>();
    listed.changes().forEach(c -> newest.put(keyOf.apply(c), c));
    receivedWhileListing.values().stream()
        .filter(c -> offset(c) >= listed.next())
        .forEach(c -> newest.merge(keyOf.apply(c), c, this::later));
    receivedWhileListing.clear();
    listing = false;
    nextOffset = Math.max(nextOffset, listed.next());
    listedUntil = newest.values().stream().mapToLong(c -> offset(c) + 1).max().orElse(UNKNOWN);
    return List.copyOf(newest.values());
  }

  private T later(T first, T second) {
    return offset(first) >= offset(second) ? first : second;
  }

  /**
   * Applies a read of the topic.
   *
   * <p>Changes that a peer sent while the read was under way are not applied again, but are part of
   * the update: its receivers may not have heard of that peer. The same holds for changes that the
   * listing already had.
   *
   * @param read the records that were read
   * @param applier applies changes in order, and returns all but those that repeat the value of
   *     their key; deletions are always returned
   * @return the update for peers, which holds every change of its range
   */
  public TopicUpdate<T> onRead(TopicUpdate<T> read, UnaryOperator<List<T>> applier) {
    long wholeUntil = Math.max(nextOffset, listedUntil);
    List<T> changes = new ArrayList<>();
    read.changes().stream().filter(c -> offset(c) < wholeUntil).forEach(changes::add);
    apply(read, applier).stream().filter(c -> offset(c) >= wholeUntil).forEach(changes::add);
    return new TopicUpdate<>(read.from(), read.next(), changes);
  }

  private long offset(T change) {
    return offsetOf.applyAsLong(change);
  }

  /**
   * Applies an update of a peer, unless it begins after the next offset.
   *
   * @param applier applies changes in order
   * @return whether the update was applied
   */
  public boolean onUpdate(TopicUpdate<T> update, UnaryOperator<List<T>> applier) {
    if (nextOffset == UNKNOWN) {
      return false;
    }
    if (update.from() > nextOffset) {
      gap = true;
      return false;
    }
    if (listing) {
      update.changes().forEach(c -> receivedWhileListing.merge(keyOf.apply(c), c, this::later));
    }
    apply(update, applier);
    return true;
  }

  private List<T> apply(TopicUpdate<T> update, UnaryOperator<List<T>> applier) {
    List<T> unapplied = update.changes().stream().filter(c -> offset(c) >= nextOffset).toList();
    nextOffset = Math.max(nextOffset, update.next());
    gap = false;
    return unapplied.isEmpty() ? List.of() : applier.apply(unapplied);
  }
}
