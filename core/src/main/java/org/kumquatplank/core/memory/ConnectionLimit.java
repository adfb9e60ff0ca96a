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

  private static final int MIN_CONNECTIONS = 8;

  private ConnectionLimit() {}

  /** Returns five eighths of the descriptors that a process may use for sockets. */
  public static int of(int fileDescriptors) {
    return share(fileDescriptors, 5);
  }

  /** Returns an eighth of them, for the listeners of readiness, directory and metrics. */
  public static int ofAuxiliary(int fileDescriptors) {
    return share(fileDescriptors, 1);
  }

  private static int share(int fileDescriptors, int eighths) {
    if (fileDescriptors == Integer.MAX_VALUE) {
      return Integer.MAX_VALUE;
    }
    return eighths * Math.max(MIN_CONNECTIONS, (fileDescriptors - FILE_DESCRIPTORS) / 8);
  }
}
