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

/** A server that responds to a long upload before it has read it, and resets the connection. */
class EarlyResponseClientTest {
  private static final int UPLOAD_BYTES = 3 * 1024 * 1024;
  private static final int HEAD_BYTES = 16;
  private static final String PART = "HTTP/1.1 200 OK\r\n\r\npart of a bo";

  private final PooledHttpClient client = PooledHttpClient.create();

  private static void respondEarly(ServerSocket listener, boolean endFirst, long pauseMillis) {
    try (Socket socket = listener.accept()) {
      socket.getInputStream().readNBytes(HEAD_BYTES);
      socket.getOutputStream().write(PART.getBytes(StandardCharsets.US_ASCII));
      if (endFirst) {
        socket.shutdownOutput();
      }
      Thread.sleep(pauseMillis);
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against a part of a body that is taken for the whole one. */
  @Example
  void testPartOfABodyIsNotWholeWhenTheUploadIsReset() throws IOException {
    for (boolean endFirst : new boolean[] {false, true}) {
      for (long pause : new long[] {0, 5, 40}) {
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
          Thread.ofVirtual().start(() -> respondEarly(listener, endFirst, pause));
          CallException e =
              catchThrowableOfType(
                  CallException.class,
                  () ->
                      client.exchange(
                          "127.0.0.1:" + listener.getLocalPort(),
                          Request.post("/x", "x".repeat(UPLOAD_BYTES)),
                          Instant.now().plusSeconds(5),
                          Reuse.FRESH));
          assertThat(e).as(endFirst + " " + pause).isNotNull();
          assertThat(e.mayHaveBeenSent()).isTrue();
        }
      }
    }
  }

  /** Guards against a write that blocks for ever, as its timeout is that of reads only. */
  @Example
  void testUploadToAServerThatReadsNothingEndsAtTheDeadline() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      CallException e =
          catchThrowableOfType(
              CallException.class,
              () ->
                  client.exchange(
                      "127.0.0.1:" + listener.getLocalPort(),
                      Request.post("/x", "x".repeat(2 * UPLOAD_BYTES)),
                      Instant.now().plusMillis(500),
                      Reuse.FRESH));
      assertThat(e.mayHaveBeenSent()).isTrue();
    }
  }
}
