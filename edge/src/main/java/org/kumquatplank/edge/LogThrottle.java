package org.kumquatplank.edge;

import java.util.OptionalInt;

/**
 * Limits a log line to one per interval, and counts the omitted ones.
 *
 * <p>Not thread-safe.
 */
final class LogThrottle {
  private final long intervalMicros;
  private long nextAllowedAt = Long.MIN_VALUE;
  private int omitted;

  private LogThrottle(long intervalMicros) {
    this.intervalMicros = intervalMicros;
  }

  static LogThrottle create(long intervalMicros) {
    return new LogThrottle(intervalMicros);
  }

  /** Returns the number of lines omitted before this one, or empty if this one is to be omitted. */
  OptionalInt pass(long now) {
    if (now < nextAllowedAt) {
      omitted++;
      return OptionalInt.empty();
    }
    int omittedBefore = omitted;
    omitted = 0;
    nextAllowedAt = now + intervalMicros;
    return OptionalInt.of(omittedBefore);
  }
}
