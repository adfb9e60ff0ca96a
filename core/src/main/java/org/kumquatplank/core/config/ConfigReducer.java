package org.kumquatplank.core.config;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Deterministic reducer of the configuration stream.
 *
 * <p>Every instance that folds the same records arrives at the same configuration. The version
 * never goes down. A reader that starts past retention holds the changes back until a snapshot
 * covers what it missed. Not thread-safe: confined to the control thread.
 */
public final class ConfigReducer {
  private final SortedMap<Long, ConfigEntry.Change> held = new TreeMap<>();
  private Configuration current = Configuration.empty();
  private long nextOffset;
  private long gapEnd;

  private ConfigReducer() {}

  /** Returns a reducer at the start of the stream. */
  public static ConfigReducer create() {
    return new ConfigReducer();
  }

  /** What became of one record. */
  public enum Verdict {
    /** The change is in force. */
    ACCEPTED,
    /** Another change came first. */
    CONFLICT,
    /** The change waits for a snapshot that covers the records missed before it. */
    HELD,
    /** The record changed nothing. */
    NO_EFFECT
  }

  /**
   * Takes in the record at {@code offset}; a record before the next offset has no effect.
   *
   * @return what became of the record
   */
  public Verdict fold(long offset, ConfigEntry entry) {
    if (offset < nextOffset) {
      return Verdict.NO_EFFECT;
    }
    if (offset > nextOffset) {
      held.clear();
      gapEnd = offset;
    }
    nextOffset = offset + 1;
    return switch (entry) {
      case ConfigEntry.Change change -> foldChange(offset, change);
      case ConfigEntry.Snapshot snapshot -> foldSnapshot(snapshot);
    };
  }

  private Verdict foldChange(long offset, ConfigEntry.Change change) {
    if (!isComplete()) {
      held.put(offset, change);
      return Verdict.HELD;
    }
    return apply(change);
  }

  private Verdict apply(ConfigEntry.Change change) {
    if (change.base() != current.version()) {
      return Verdict.CONFLICT;
    }
    current = ConfigOp.apply(current, change.ops()).atVersion(change.base() + 1);
    return Verdict.ACCEPTED;
  }

  private Verdict foldSnapshot(ConfigEntry.Snapshot snapshot) {
    boolean coversGap = snapshot.nextOffset() >= gapEnd;
    if (isComplete() || !coversGap || snapshot.configuration().version() < current.version()) {
      return Verdict.NO_EFFECT;
    }
    current = snapshot.configuration();
    gapEnd = 0;
    held.tailMap(snapshot.nextOffset()).values().forEach(this::apply);
    held.clear();
    return Verdict.ACCEPTED;
  }

  /**
   * Adopts the state of a peer that folded further.
   *
   * @param configuration the peer's configuration
   * @param peerNextOffset offset after the last record that the peer folded
   */
  public void adopt(Configuration configuration, long peerNextOffset) {
    boolean further = peerNextOffset > nextOffset || !isComplete();
    if (!further || peerNextOffset < nextOffset || configuration.version() < current.version()) {
      return;
    }
    current = configuration;
    nextOffset = peerNextOffset;
    gapEnd = 0;
    held.clear();
  }

  /** Returns the configuration in force. */
  public Configuration current() {
    return current;
  }

  /** Returns the offset of the next record to take in. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns whether the state rests on every record of the stream up to the next offset. */
  public boolean isComplete() {
    return gapEnd == 0;
  }
}
