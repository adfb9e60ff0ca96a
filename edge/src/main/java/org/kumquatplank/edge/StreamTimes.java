package org.kumquatplank.edge;

/** Time to first token and longest pause of a stream, as sent to the caller. Not thread-safe. */
final class StreamTimes {
  private final long arrivedAt;
  private long lastAt;
  private long firstMicros = -1;
  private long longestPauseMicros;

  /**
   * Creates an instance without events.
   *
   * @param arrivedAt time at which the request arrived, microseconds
   */
  StreamTimes(long arrivedAt) {
    this.arrivedAt = arrivedAt;
  }

  void recordEvent(long now) {
    if (firstMicros < 0) {
      firstMicros = now - arrivedAt;
    } else {
      longestPauseMicros = Math.max(longestPauseMicros, now - lastAt);
    }
    lastAt = now;
  }

  /** Returns the time to the first event, microseconds, or a negative number if there was none. */
  long firstMicros() {
    return firstMicros;
  }

  /** Returns the longest pause between two events, microseconds. */
  long longestPauseMicros() {
    return longestPauseMicros;
  }
}
