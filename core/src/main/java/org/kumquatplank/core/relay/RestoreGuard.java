package org.kumquatplank.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds back what a restored copy of a topic contradicts, until its writers have had the time to
 * write again what the copy lacks.
 *
 * <p>After a restore, records that an instance acts upon may be missing, and records that were
 * replaced or deleted may be there again. For a time the instance keeps what it had: a record of
 * another value is held, and a missing record is not taken as deleted. A record that is written
 * again with the same value is passed on with its new position. Not thread-safe.
 *
 * @param <T> record
 */
public final class RestoreGuard<T> {
  /** How long records are held that contradict what this instance has. */
  private static final long HELD_MICROS = 1_500_000;

  /** How long missing records are kept. */
  private static final long MISSING_MICROS = 5_000_000;

  private final RecordType<T> type;
  private final Map<String, T> current = new HashMap<>();
  private final Map<String, T> held = new LinkedHashMap<>();
  private final Set<String> missing = new HashSet<>();
  private LogPosition restoredAt = LogPosition.unknownIn(LogPosition.NO_ERA);
  private long heldUntil = Long.MIN_VALUE;
  private long missingUntil = Long.MIN_VALUE;

  private RestoreGuard(RecordType<T> type) {
    this.type = type;
  }

  /** Returns a guard that has seen no record. */
  public static <T> RestoreGuard<T> create(RecordType<T> type) {
    return new RestoreGuard<>(type);
  }

  /**
   * Reads the records of a topic.
   *
   * @param <T> record
   */
  public interface RecordType<T> {
    /** Returns the key; the newest record of each key is in force. */
    String key(T record);

    /** Returns whether the record deletes its key. */
    boolean isDeletion(T record);

    /** Returns whether two records, neither a deletion, have the same value. */
    boolean hasSameValue(T first, T second);

    /** Returns whether the receiver takes an older record of the key for what it is. */
    boolean isVersioned(T record);

    /** Returns a record that deletes a key. */
    T deletion(String key, LogPosition position);
  }

  /**
   * Handles a listing. Records that it lacks are dropped, but after a restore only once they have
   * been missing for the time that is allowed.
   *
   * @return the records to apply now
   */
  public List<T> onListed(List<T> listed, long now) {
    held.clear();
    missing.clear();
    if (now < missingUntil) {
      missing.addAll(current.keySet());
    } else {
      current.clear();
    }
    return onChanges(listed, now);
  }

  /** Returns the newest record of each key that is to be in force, in no particular order. */
  public List<T> current() {
    return List.copyOf(current.values());
  }

  private void setCurrent(T record) {
    if (type.isDeletion(record)) {
      current.remove(type.key(record));
    } else {
      current.put(type.key(record), record);
    }
  }

  /** Returns the records that tell this instance something new. */
  public List<T> news(List<T> records) {
    return records.stream().filter(r -> !isCurrent(r)).toList();
  }

  private boolean isCurrent(T record) {
    T known = current.get(type.key(record));
    return known == null
        ? type.isDeletion(record)
        : !type.isDeletion(record) && type.hasSameValue(known, record);
  }

  /**
   * Begins to hold back records, as the store has come back from an older copy.
   *
   * @param position a position of the new era
   */
  public void onRestored(LogPosition position, long now) {
    restoredAt = position;
    heldUntil = now + HELD_MICROS;
    missingUntil = now + MISSING_MICROS;
  }

  /** Handles later records, in order; returns those to apply now. */
  public List<T> onChanges(List<T> records, long now) {
    List<T> result = new ArrayList<>();
    for (T record : records) {
      String key = type.key(record);
      missing.remove(key);
      if (now < heldUntil && !type.isVersioned(record) && !isCurrent(record)) {
        held.put(key, record);
      } else {
        held.remove(key);
        setCurrent(record);
        result.add(record);
      }
    }
    return result;
  }

  /** Returns the records and deletions that are not held any longer, to be applied now. */
  public List<T> takeDue(long now) {
    List<T> result = new ArrayList<>();
    if (now >= heldUntil) {
      result.addAll(held.values());
      held.clear();
    }
    if (now >= missingUntil) {
      missing.forEach(key -> result.add(type.deletion(key, restoredAt)));
      missing.clear();
    }
    result.forEach(this::setCurrent);
    return result;
  }
}
