package org.kumquatplank.edge;

/** When the events of a stream went out. Not thread-safe. */
final class StreamTimes {
  private final long arrived;
  private long lastAt;
  private long firstMicros = -1;
  private long longestPauseMicros;

  /**
   * Starts the clock.
   *
   * @param arrived time at which the request arrived, microseconds
   */
  StreamTimes(long arrived) {
    this.arrived = arrived;
  }

  void note(long now) {
    if (firstMicros < 0) {
      firstMicros = now - arrived;
    } else {
      longestPauseMicros = Math.max(longestPauseMicros, now - lastAt);
    }
    lastAt = now;
  }

  /** Returns the time to the first event, microseconds, or a negative number without one. */
  long firstMicros() {
    return firstMicros;
  }

  /** Returns the longest pause between two events, microseconds. */
  long longestPauseMicros() {
    return longestPauseMicros;
  }
}
