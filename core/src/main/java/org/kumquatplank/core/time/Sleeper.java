package org.kumquatplank.core.time;

import java.time.Duration;

/** Blocks the current thread for a given duration. Implementations are thread-safe. */
@FunctionalInterface
public interface Sleeper {
  /**
   * Blocks the current thread for the duration {@code time}.
   *
   * @return false if the thread was interrupted
   */
  boolean sleep(Duration time);

  /** Returns a sleeper that uses {@link Thread#sleep(Duration)}. */
  static Sleeper system() {
    return time -> {
      try {
        Thread.sleep(time);
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    };
  }
}
