package org.kumquatplank.core.config;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Deterministic reducer of the configuration stream.
 *
 * <p>Every instance that applies the same records computes the same configuration, and the version
 * never decreases. A reader that starts after older records have passed retention holds changes
 * back until a snapshot includes the records it missed. Not thread-safe: confined to the control
 * thread.
 */
public final class ConfigReducer {
  private final SortedMap<Long, ConfigEntry.Change> heldChanges = new TreeMap<>();
  private Configuration current = Configuration.empty();
  private long nextOffset;
  private long gapEnd;

  private ConfigReducer() {}

  /** Returns a reducer at the start of the stream. */
  public static ConfigReducer create() {
    return new ConfigReducer();
  }

  /** The result of applying one record. */
  public enum ApplyResult {
    /** The change or snapshot was applied. */
    ACCEPTED,
    /** The change is rejected: its base version is not the current version. */
    CONFLICT,
    /** The change is held until a snapshot includes the records missed before it. */
    HELD,
    /** The record has no effect on the configuration. */
    NO_EFFECT
  }

  /**
   * Applies the record at {@code offset}. A record below the next offset has no effect.
   *
   * @return the result for this record
   */
  public ApplyResult apply(long offset, ConfigEntry entry) {
    if (offset < nextOffset) {
      return ApplyResult.NO_EFFECT;
    }
    markMissingBefore(offset);
    nextOffset = offset + 1;
    return switch (entry) {
      case ConfigEntry.Change change -> applyOrHold(offset, change);
      case ConfigEntry.Snapshot snapshot -> applySnapshot(snapshot);
    };
  }

  /**
   * Marks the records below {@code firstRetained} that were not applied as missing, since the log
   * no longer holds them.
   */
  public void markMissingBefore(long firstRetained) {
    if (firstRetained > nextOffset) {
      heldChanges.clear();
      gapEnd = firstRetained;
      nextOffset = firstRetained;
    }
  }

  /** Passes over the record at {@code offset}, which is not an entry of the stream. */
  public void skip(long offset) {
    if (offset >= nextOffset) {
      markMissingBefore(offset);
      nextOffset = offset + 1;
    }
  }

  private ApplyResult applyOrHold(long offset, ConfigEntry.Change change) {
    if (!isComplete()) {
      heldChanges.put(offset, change);
      return ApplyResult.HELD;
    }
    return applyIfCurrent(change);
  }

  private ApplyResult applyIfCurrent(ConfigEntry.Change change) {
    if (change.base() != current.version()) {
      return ApplyResult.CONFLICT;
    }
    current = ConfigOp.apply(current, change.ops()).withVersion(change.base() + 1);
    return ApplyResult.ACCEPTED;
  }

  private ApplyResult applySnapshot(ConfigEntry.Snapshot snapshot) {
    boolean coversGap = snapshot.nextOffset() >= gapEnd;
    if (isComplete() || !coversGap || snapshot.configuration().version() < current.version()) {
      return ApplyResult.NO_EFFECT;
    }
    current = snapshot.configuration();
    gapEnd = 0;
    heldChanges.tailMap(snapshot.nextOffset()).values().forEach(this::applyIfCurrent);
    heldChanges.clear();
    return ApplyResult.ACCEPTED;
  }

  /**
   * Adopts the state of a peer that has applied more records than this reducer. Older state is
   * ignored.
   *
   * @param configuration the peer's configuration
   * @param peerNextOffset offset after the last record that the peer applied
   */
  public void adopt(Configuration configuration, long peerNextOffset) {
    boolean peerAhead = peerNextOffset > nextOffset || !isComplete();
    if (!peerAhead || peerNextOffset < nextOffset || configuration.version() < current.version()) {
      return;
    }
    current = configuration;
    nextOffset = peerNextOffset;
    gapEnd = 0;
    heldChanges.clear();
  }

  /** Returns the configuration in force. */
  public Configuration current() {
    return current;
  }

  /** Returns the offset of the next record to apply. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns whether the state includes every record of the stream before the next offset. */
  public boolean isComplete() {
    return gapEnd == 0;
  }
}
