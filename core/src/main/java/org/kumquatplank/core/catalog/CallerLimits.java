package org.kumquatplank.core.catalog;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerMillis longest time for a head to arrive, milliseconds
 * @param idleMillis longest time that a connection may rest between two requests, milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
  /** Limits that hold before any configuration is known. */
  public static final CallerLimits INITIAL =
      new CallerLimits(16_384, 4 * 1024 * 1024, 3_000, 15_000);
}
