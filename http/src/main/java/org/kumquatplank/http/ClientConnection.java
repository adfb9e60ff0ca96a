package org.kumquatplank.http;

import java.io.IOException;
import java.time.Instant;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.io.CloseMode;

/**
 * A connection of the client and its socket.
 *
 * <p>Confined to one thread at a time, except for {@link #close}.
 */
final class ClientConnection {
  private final HttpClientConnection http;
  private final DeadlineSocket socket;

  ClientConnection(HttpClientConnection http, DeadlineSocket socket) {
    this.http = http;
    this.socket = socket;
  }

  HttpClientConnection http() {
    return http;
  }

  void setDeadline(Instant deadline) {
    socket.setDeadline(deadline);
  }

  /** Limits the bytes that are written before the server takes them. */
  void setSendBufferSize(int bytes) throws IOException {
    socket.setSendBufferSize(bytes);
  }

  /** Prepares the connection for the pool. */
  void clearDeadline() {
    socket.clearDeadline();
  }

  boolean isOpen() {
    return http.isOpen();
  }

  boolean isStale() throws IOException {
    return http.isStale();
  }

  void close() {
    http.close(CloseMode.IMMEDIATE);
  }
}
