package org.kumquatplank.edge;

/** Monotonic clock of this process. Thread-safe. */
final class Clock {
  private static final long NANOS_PER_MICRO = 1_000;

  private Clock() {}

  /** Returns the monotonic time, microseconds since an arbitrary origin. */
  static long micros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }
}
