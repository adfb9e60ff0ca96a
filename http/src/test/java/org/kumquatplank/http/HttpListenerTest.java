package org.kumquatplank.http;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import net.jqwik.api.Example;

class HttpListenerTest {
  private static final int ROUNDS = 2_000;

  /** Below the ephemeral ports, from which a connection to a closed port may connect to itself. */
  private static final int FIRST_PORT = 17_000;

  private static HttpListener open(int port) {
    return HttpListener.open(
        "127.0.0.1", port, ServerLimits.defaults(), r -> Response.json(200, ""));
  }

  private static HttpListener openOnFreePort() {
    int port = FIRST_PORT;
    while (true) {
      try {
        return open(port);
      } catch (IllegalStateException e) {
        port++;
      }
    }
  }

  /** Guards against a connection that is accepted while the listener closes, and never served. */
  @Example
  void testConnectionsAreRefusedOnceItIsClosed() {
    HttpListener listener = openOnFreePort();
    int port = listener.port();
    for (int i = 0; i < ROUNDS; i++) {
      listener.close();
      assertThatThrownBy(() -> new Socket(InetAddress.getLoopbackAddress(), port).close())
          .as("round %d", i)
          .isInstanceOf(ConnectException.class);
      listener = open(port);
    }
    listener.close();
  }
}
