package org.kumquatplank.edge;

import java.util.OptionalInt;

/**
 * Lets one log line through in a span of time, and counts those that are left out.
 *
 * <p>Not thread-safe.
 */
final class LogThrottle {
  private final long pauseMicros;
  private long quietUntil = Long.MIN_VALUE;
  private int omitted;

  private LogThrottle(long pauseMicros) {
    this.pauseMicros = pauseMicros;
  }

  static LogThrottle create(long pauseMicros) {
    return new LogThrottle(pauseMicros);
  }

  /** Returns how many lines were left out before this one, or nothing if this one is left out. */
  OptionalInt pass(long now) {
    if (now < quietUntil) {
      omitted++;
      return OptionalInt.empty();
    }
    int before = omitted;
    omitted = 0;
    quietUntil = now + pauseMicros;
    return OptionalInt.of(before);
  }
}
