package org.kumquatplank.core.memory;

/**
 * Limit on the connections of callers, so that descriptors remain for backend servers and the
 * store.
 *
 * <p>Answers callers that open connections without end.
 */
public final class ConnectionLimit {
  /** Descriptors for files and libraries. */
  private static final int FILE_DESCRIPTORS = 200;

  private static final int MIN_CONNECTIONS = 16;

  private ConnectionLimit() {}

  /** Returns three quarters of the descriptors that a process may use for sockets. */
  public static int of(int fileDescriptors) {
    if (fileDescriptors == Integer.MAX_VALUE) {
      return Integer.MAX_VALUE;
    }
    return Math.max(MIN_CONNECTIONS, (fileDescriptors - FILE_DESCRIPTORS) / 4 * 3);
  }
}
