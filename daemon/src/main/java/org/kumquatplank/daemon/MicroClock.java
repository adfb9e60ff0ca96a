package org.kumquatplank.daemon;

/** Monotonic clock in microseconds, used for routing decisions. */
@FunctionalInterface
interface MicroClock {
  /** Number of nanoseconds in a microsecond. */
  long NANOS_PER_MICRO = 1_000;

  /** Returns the time in microseconds since an arbitrary origin. */
  long micros();

  /** Returns a clock that reads {@link System#nanoTime}. */
  static MicroClock system() {
    return () -> System.nanoTime() / NANOS_PER_MICRO;
  }
}
