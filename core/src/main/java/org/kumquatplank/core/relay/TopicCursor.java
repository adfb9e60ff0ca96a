package org.kumquatplank.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;

/**
 * Tracks which changes of a topic an instance has applied; it reads them or receives them from
 * peers.
 *
 * <p>All changes below the next offset have been applied. Single keys may be further ahead, after a
 * listing or an update that left a gap. Not thread-safe.
 *
 * @param <T> change
 */
public final class TopicCursor<T> {
  private static final long UNKNOWN = -1;

  private final ToLongFunction<T> offsetOf;
  private final Function<T, String> keyOf;

  /** Offset of the newest change of each key that was applied ahead of the position. */
  private final Map<String, Long> appliedByKey = new HashMap<>();

  private final Map<String, T> receivedWhileListing = new LinkedHashMap<>();
  private final List<T> receivedWhileReading = new ArrayList<>();
  private long nextOffset = UNKNOWN;
  private long gapEnd = UNKNOWN;
  private boolean listing;
  private boolean reading;
  private boolean readRequested;

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

  /** Returns whether a peer has later changes than the next ones, so that some are missing. */
  public boolean hasGap() {
    return readRequested || nextOffset < gapEnd;
  }

  /** Requests a read, since a peer has applied later changes. */
  public void requestRead() {
    readRequested = true;
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
    appliedByKey.clear();
    newest.values().forEach(this::recordApplied);
    return List.copyOf(newest.values());
  }

  private T later(T first, T second) {
    return offset(first) >= offset(second) ? first : second;
  }

  private long offset(T change) {
    return offsetOf.applyAsLong(change);
  }

  private void recordApplied(T change) {
    appliedByKey.merge(keyOf.apply(change), offset(change), Math::max);
  }

  /** Returns the offset from which to read, and records that a read has begun. */
  public long beginRead() {
    reading = true;
    receivedWhileReading.clear();
    return nextOffset;
  }

  /** Records that a read has failed. */
  public void onReadFailed() {
    reading = false;
    receivedWhileReading.clear();
  }

  /**
   * Applies a read of the topic.
   *
   * <p>Changes that were applied before, from a peer or the listing, are not applied again, but are
   * part of the update: its receivers may not have heard of them.
   *
   * @param read the records that were read
   * @param applier applies changes in order, and returns all but those that repeat the value of
   *     their key; deletions are always returned
   * @return the update for peers, which holds every change of its range
   */
  public TopicUpdate<T> onRead(TopicUpdate<T> read, UnaryOperator<List<T>> applier) {
    List<T> changes = new ArrayList<>();
    receivedWhileReading.stream()
        .filter(c -> offset(c) >= read.from() && offset(c) < read.next())
        .forEach(changes::add);
    read.changes().stream()
        .filter(c -> offset(c) >= nextOffset && isApplied(c))
        .forEach(changes::add);
    reading = false;
    readRequested = false;
    receivedWhileReading.clear();
    changes.addAll(apply(read.changes(), applier));
    advanceTo(read.next());
    return new TopicUpdate<>(read.from(), read.next(), changes);
  }

  /**
   * Applies an update of a peer.
   *
   * <p>If it begins after the next offset, the position stays, so that what is missing is read; the
   * changes that it holds are applied all the same, as this instance may be unable to read.
   *
   * @param applier applies changes in order
   * @return whether the update continues at this position
   */
  public boolean onUpdate(TopicUpdate<T> update, UnaryOperator<List<T>> applier) {
    if (nextOffset == UNKNOWN) {
      return false;
    }
    if (listing) {
      update.changes().forEach(c -> receivedWhileListing.merge(keyOf.apply(c), c, this::later));
    }
    boolean continues = update.from() <= nextOffset;
    if (reading && continues) {
      update.changes().stream()
          .filter(c -> offset(c) >= nextOffset)
          .forEach(receivedWhileReading::add);
    }
    apply(update.changes(), applier);
    if (continues) {
      advanceTo(update.next());
    } else {
      gapEnd = Math.max(gapEnd, update.from());
    }
    return continues;
  }

  private void advanceTo(long next) {
    nextOffset = Math.max(nextOffset, next);
    appliedByKey.values().removeIf(offset -> offset < nextOffset);
  }

  private boolean isApplied(T change) {
    return offset(change) <= appliedByKey.getOrDefault(keyOf.apply(change), UNKNOWN);
  }

  private List<T> apply(List<T> changes, UnaryOperator<List<T>> applier) {
    List<T> unapplied =
        changes.stream().filter(c -> offset(c) >= nextOffset && !isApplied(c)).toList();
    unapplied.forEach(this::recordApplied);
    return unapplied.isEmpty() ? List.of() : applier.apply(unapplied);
  }
}
