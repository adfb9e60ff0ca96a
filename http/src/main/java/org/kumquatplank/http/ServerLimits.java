package org.kumquatplank.http;

import java.time.Duration;

/**
 * The limits of an HTTP listener.
 *
 * @param maxConnections maximum number of open connections
 * @param maxBodyBytes maximum size of a request body, bytes
 * @param maxHeldBodyBytes maximum memory that the bodies of all requests take, bytes
 * @param maxLineBytes maximum size of a request line or header field, bytes
 * @param maxHeaderFields maximum number of header fields
 * @param readTimeout timeout of a read from the connection
 * @param writeTimeout timeout of a write to the connection
 */
public record ServerLimits(
    int maxConnections,
    int maxBodyBytes,
    long maxHeldBodyBytes,
    int maxLineBytes,
    int maxHeaderFields,
    Duration readTimeout,
    Duration writeTimeout) {
  private static final int DEFAULT_CONNECTIONS = 2_000;
  private static final int DEFAULT_BODY_BYTES = 1 << 20;

  /** Part of the heap that request bodies may take. */
  private static final int HEAP_DIVISOR = 4;

  private static final int DEFAULT_LINE_BYTES = 8 << 10;
  private static final int DEFAULT_HEADER_FIELDS = 64;
  private static final Duration DEFAULT_READ_WAIT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_WRITE_WAIT = Duration.ofSeconds(10);

  /** Returns the default limits. */
  public static ServerLimits defaults() {
    return new ServerLimits(
        DEFAULT_CONNECTIONS,
        DEFAULT_BODY_BYTES,
        Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
        DEFAULT_LINE_BYTES,
        DEFAULT_HEADER_FIELDS,
        DEFAULT_READ_WAIT,
        DEFAULT_WRITE_WAIT);
  }
}
