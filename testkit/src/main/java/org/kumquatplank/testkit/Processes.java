package org.kumquatplank.testkit;

import java.util.concurrent.CountDownLatch;

/** Helpers for stand-ins that run as processes. */
final class Processes {
  private Processes() {}

  /** Blocks the calling thread until it is interrupted, which keeps the process running. */
  static void blockUntilInterrupted() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sleeps for the given time; returns early if interrupted, with the interrupt flag set. */
  static void sleep(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
