package org.kumquatplank.core.catalog;

/**
 * Size limits and time-outs for requests of callers.
 *
 * @param maxHeaderBytes maximum size of a request head, bytes
 * @param maxBodyBytes maximum size of a request body, bytes
 * @param headerTimeoutMillis time-out for receiving a request head, milliseconds
 * @param idleTimeoutMillis idle time-out of a connection between two requests, milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits before the first configuration is read. */
  public static final CallerLimits INITIAL =
      new CallerLimits(16_384, 4 * 1024 * 1024, 3_000, 15_000);
}
