package org.kumquatplank.edge;

/** The steady clock of this process. */
final class Clock {
  private static final long NANOS_PER_MICRO = 1_000;

  private Clock() {}

  /** Returns the time, microseconds since some moment before the start. */
  static long micros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }
}
