package org.kumquatplank.core.relay;

/**
 * A position in the log of a topic: an offset and the era of the store that assigned it.
 *
 * <p>A store that comes back from an older copy begins a new era, in which it assigns offsets anew.
 * An offset therefore means something only within its era: no position is before or after one of
 * another era. Of two eras, the later one replaces the earlier one. Immutable and thread-safe.
 *
 * @param era era of the store, or {@link #NO_ERA}
 * @param offset offset in the log, or {@link #UNKNOWN_OFFSET}
 */
public record LogPosition(long era, long offset) {
  /** Era of a store that doesn't name its eras, and of peers that don't know of them. */
  public static final long NO_ERA = 0;

  /** Offset of an instance that has not listed the topic in this era. */
  public static final long UNKNOWN_OFFSET = -1;

  /** Returns a position. */
  public static LogPosition of(long era, long offset) {
    return new LogPosition(era, offset);
  }

  /** Returns the position of an instance that has not listed the topic in an era. */
  public static LogPosition unknownIn(long era) {
    return new LogPosition(era, UNKNOWN_OFFSET);
  }

  /** Returns whether the offset is known. */
  public boolean isKnown() {
    return offset != UNKNOWN_OFFSET;
  }

  /** Returns whether this position is before another one of the same era. */
  public boolean isBefore(LogPosition other) {
    return era == other.era && offset < other.offset;
  }

  /** Returns whether both positions are of the same era. */
  public boolean isInEraOf(LogPosition other) {
    return era == other.era;
  }

  /** Returns whether another position is of a later era, which replaces that of this one. */
  public boolean isReplacedBy(LogPosition other) {
    return era < other.era;
  }

  /** Returns whether another position is later in this era, or of a later era. */
  public boolean isSupersededBy(LogPosition other) {
    return isBefore(other) || isReplacedBy(other);
  }

  /**
   * Returns whether both denote the same record.
   *
   * <p>Holds for equal offsets if either comes from a writer that doesn't know of eras.
   */
  public boolean denotesSameAs(LogPosition other) {
    return offset == other.offset && (era == other.era || era == NO_ERA || other.era == NO_ERA);
  }

  /** Returns the position after a number of records. */
  public LogPosition plus(long records) {
    return new LogPosition(era, offset + records);
  }

  @Override
  public String toString() {
    return era == NO_ERA ? Long.toString(offset) : era + "/" + offset;
  }
}
