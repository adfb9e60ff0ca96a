package org.kumquatplank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import net.jqwik.api.Example;
import org.kumquatplank.http.PooledHttpClient.Reuse;

/** A server whose responses have no valid status, but all else that a response needs. */
class InvalidStatusClientTest {
  private static final String[] STATUS_LINES = {
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 20 OK"
  };

  private final PooledHttpClient client = PooledHttpClient.create();

  private static void respond(ServerSocket listener, String statusLine) {
    try (Socket socket = listener.accept()) {
      byte[] request = new byte[4_096];
      if (socket.getInputStream().read(request) > 0) {
        String response = statusLine + "\r\nContent-Length: 2\r\n\r\nok";
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  /** Guards against a status without meaning that is taken for an answer. */
  @Example
  void testResponseWithAnInvalidStatusIsNone() throws IOException {
    for (String line : STATUS_LINES) {
      try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
        Thread.ofVirtual().start(() -> respond(listener, line));
        CallException e =
            catchThrowableOfType(
                CallException.class,
                () ->
                    client.exchange(
                        "127.0.0.1:" + listener.getLocalPort(),
                        Request.get("/"),
                        Instant.now().plusSeconds(5),
                        Reuse.FRESH));
        assertThat(e).as(line).isNotNull();
        assertThat(e.mayHaveBeenSent()).isTrue();
      }
    }
  }
}
