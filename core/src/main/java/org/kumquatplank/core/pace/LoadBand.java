package org.kumquatplank.core.pace;

/**
 * Division of the load of a backend server into bands of equal width.
 *
 * <p>Stateless and thread-safe.
 */
final class LoadBand {
  /** Number of bands; the last one includes all load beyond the slots. */
  static final int COUNT = 8;

  private LoadBand() {}

  /** Returns the band of a number of concurrent requests. */
  static int of(int requests, int slots) {
    return Math.clamp((long) requests * COUNT / Math.max(1, slots), 0, COUNT - 1);
  }

  /** Returns the number of concurrent requests from which a band begins, at least 1. */
  static int firstRequest(int band, int slots) {
    return Math.max(1, Math.ceilDiv(band * Math.max(1, slots), COUNT));
  }
}
