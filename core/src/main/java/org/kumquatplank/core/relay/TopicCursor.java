package org.kumquatplank.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Tracks which changes of a topic an instance has applied; it reads them or receives them from
 * peers.
 *
 * <p>All changes below the next position have been applied. Single keys may be further ahead, after
 * a listing or an update that left a gap.
 *
 * <p>When the store or a peer names a later era of the store, all that is known of positions is
 * dropped and the topic has to be listed; until then, the changes that peers send are applied by
 * key. What comes from an earlier era changes nothing. Not thread-safe.
 *
 * @param <T> change
 */
public final class TopicCursor<T> {
  private final Function<T, LogPosition> positionOf;
  private final Function<T, String> keyOf;

  /** Position of the newest change of each key that was applied ahead of the position. */
  private final Map<String, LogPosition> appliedByKey = new HashMap<>();

  private final Map<String, T> receivedWhileListing = new LinkedHashMap<>();
  private final List<T> receivedWhileReading = new ArrayList<>();
  private LogPosition next = LogPosition.unknownIn(LogPosition.NO_ERA);
  private LogPosition gapEnd = next;
  private boolean everListed;
  private boolean listing;
  private boolean reading;
  private boolean readRequested;

  private TopicCursor(Function<T, LogPosition> positionOf, Function<T, String> keyOf) {
    this.positionOf = positionOf;
    this.keyOf = keyOf;
  }

  /**
   * Returns a cursor whose position is unknown until the first listing.
   *
   * @param positionOf returns the position of a change
   * @param keyOf returns the key of a change; a later change of the same key replaces it
   */
  public static <T> TopicCursor<T> create(
      Function<T, LogPosition> positionOf, Function<T, String> keyOf) {
    return new TopicCursor<>(positionOf, keyOf);
  }

  /**
   * Returns the position below which all changes have been applied; its offset is unknown until the
   * topic has been listed in its era.
   */
  public LogPosition next() {
    return next;
  }

  /** Returns whether the topic has to be listed, as nothing is known of this era. */
  public boolean needsListing() {
    return !next.isKnown() && !listing;
  }

  /** Returns whether a peer has later changes than the next ones, so that some are missing. */
  public boolean hasGap() {
    return readRequested || next.isBefore(gapEnd);
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
   * @return the newest record of each key, including those that peers sent during the listing, or
   *     nothing if the listing is of an earlier era
   */
  public Optional<List<T>> onListed(TopicUpdate<T> listed) {
    listing = false;
    if (listed.next().isReplacedBy(next)) {
      return Optional.empty();
    }
    enterEra(listed.next());
    Map<String, T> newest = new LinkedHashMap<>();
    listed.changes().forEach(c -> newest.put(keyOf.apply(c), c));
    receivedWhileListing.values().stream()
        .filter(c -> !position(c).isBefore(listed.next()))
        .forEach(c -> newest.merge(keyOf.apply(c), c, this::later));
    receivedWhileListing.clear();
    advanceTo(listed.next());
    everListed = true;
    appliedByKey.clear();
    newest.values().forEach(this::recordApplied);
    return Optional.of(List.copyOf(newest.values()));
  }

  /** Forgets what is known of positions if another one is of a later era. */
  private void enterEra(LogPosition position) {
    if (!next.isReplacedBy(position)) {
      return;
    }
    next = LogPosition.unknownIn(position.era());
    gapEnd = next;
    readRequested = false;
    appliedByKey.clear();
    receivedWhileListing.clear();
    receivedWhileReading.clear();
  }

  private T later(T first, T second) {
    return position(first).isBefore(position(second)) ? second : first;
  }

  private LogPosition position(T change) {
    return positionOf.apply(change);
  }

  private void recordApplied(T change) {
    appliedByKey.merge(keyOf.apply(change), position(change), TopicCursor::later);
  }

  private static LogPosition later(LogPosition first, LogPosition second) {
    return first.isBefore(second) ? second : first;
  }

  /** Returns the position from which to read, and records that a read has begun. */
  public LogPosition beginRead() {
    reading = true;
    receivedWhileReading.clear();
    return next;
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
   * @return the update for peers, which holds every change of its range, or nothing if a peer has
   *     named a later era since the read began
   */
  public Optional<TopicUpdate<T>> onRead(TopicUpdate<T> read, UnaryOperator<List<T>> applier) {
    reading = false;
    if (!read.next().isInEraOf(next)) {
      receivedWhileReading.clear();
      return Optional.empty();
    }
    List<T> changes = new ArrayList<>();
    receivedWhileReading.stream()
        .filter(c -> !position(c).isBefore(read.from()) && position(c).isBefore(read.next()))
        .forEach(changes::add);
    read.changes().stream()
        .filter(c -> !position(c).isBefore(next) && isApplied(c))
        .forEach(changes::add);
    readRequested = false;
    receivedWhileReading.clear();
    changes.addAll(apply(read.changes(), applier));
    advanceTo(read.next());
    return Optional.of(new TopicUpdate<>(read.from(), read.next(), changes));
  }

  /**
   * Applies an update of a peer.
   *
   * <p>If it begins after the next position, the position stays, so that what is missing is read;
   * the changes that it holds are applied all the same, as this instance may be unable to read.
   *
   * @param applier applies changes in order
   * @return whether the update continues at this position
   */
  public boolean onUpdate(TopicUpdate<T> update, UnaryOperator<List<T>> applier) {
    if (update.next().isReplacedBy(next)) {
      return false;
    }
    enterEra(update.next());
    if (!everListed) {
      return false;
    }
    if (listing) {
      update.changes().forEach(c -> receivedWhileListing.merge(keyOf.apply(c), c, this::later));
    }
    boolean continues = next.isKnown() && !next.isBefore(update.from());
    if (reading && continues) {
      update.changes().stream()
          .filter(c -> !position(c).isBefore(next))
          .forEach(receivedWhileReading::add);
    }
    apply(update.changes(), applier);
    if (continues) {
      advanceTo(update.next());
    } else {
      gapEnd = later(gapEnd, update.from());
    }
    return continues;
  }

  private void advanceTo(LogPosition position) {
    next = later(next, position);
    appliedByKey.values().removeIf(applied -> applied.isBefore(next));
  }

  private boolean isApplied(T change) {
    LogPosition applied = appliedByKey.get(keyOf.apply(change));
    return applied != null && !applied.isBefore(position(change));
  }

  private List<T> apply(List<T> changes, UnaryOperator<List<T>> applier) {
    List<T> unapplied =
        changes.stream().filter(c -> !position(c).isBefore(next) && !isApplied(c)).toList();
    unapplied.forEach(this::recordApplied);
    return unapplied.isEmpty() ? List.of() : applier.apply(unapplied);
  }
}
