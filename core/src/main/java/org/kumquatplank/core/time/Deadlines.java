package org.kumquatplank.core.time;

import java.time.Instant;

/** Utility methods for deadlines. Stateless and thread-safe. */
public final class Deadlines {
  private Deadlines() {}

  /** Returns the earlier of two deadlines. */
  public static Instant earlier(Instant a, Instant b) {
    return a.isBefore(b) ? a : b;
  }
}
