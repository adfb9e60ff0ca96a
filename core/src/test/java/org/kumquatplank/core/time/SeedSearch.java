package org.kumquatplank.core.time;

import java.util.Optional;
import java.util.function.LongFunction;

/** Searches seeded schedules for violations. */
public final class SeedSearch {
  private SeedSearch() {}

  /** Returns the first seed below {@code seeds} whose schedule has a violation, or -1. */
  public static long firstFailing(LongFunction<Optional<String>> runSchedule, long seeds) {
    for (long seed = 0; seed < seeds; seed++) {
      if (runSchedule.apply(seed).isPresent()) {
        return seed;
      }
    }
    return -1;
  }
}
