package org.kumquatplank.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;

/** Server that responds to each request with bytes that go on until the client closes. */
final class EndlessResponseServer implements AutoCloseable {
  /** Far longer than the deadlines of the tests, so that a client without one fails in the end. */
  private static final Duration MAX_RESPONSE_TIME = Duration.ofSeconds(8);

  private static final int BLOCK_BYTES = 16_384;

  private final ServerSocket listener;
  private final String start;
  private final String repeated;
  private final long pauseMillis;

  private EndlessResponseServer(
      ServerSocket listener, String start, String repeated, long pauseMillis) {
    this.listener = listener;
    this.start = start;
    this.repeated = repeated;
    this.pauseMillis = pauseMillis;
  }

  /**
   * Opens a server.
   *
   * @param start bytes that are sent once
   * @param repeated bytes that are sent over and over
   * @param pauseMillis pause before each repetition; 0 sends as fast as possible
   */
  static EndlessResponseServer open(String start, String repeated, long pauseMillis)
      throws IOException {
    ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    EndlessResponseServer server =
        new EndlessResponseServer(listener, start, repeated, pauseMillis);
    Thread.ofVirtual().start(server::accept);
    return server;
  }

  String endpoint() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        respond(socket.getInputStream(), socket.getOutputStream());
      } catch (IOException e) {
        // The client or the test has closed the connection.
      }
    }
  }

  private void respond(InputStream in, OutputStream out) throws IOException {
    if (in.read(new byte[BLOCK_BYTES]) < 0) {
      return;
    }
    out.write(start.getBytes(StandardCharsets.US_ASCII));
    int copies = pauseMillis > 0 ? 1 : 1 + BLOCK_BYTES / repeated.length();
    byte[] block = repeated.repeat(copies).getBytes(StandardCharsets.US_ASCII);
    Instant end = Instant.now().plus(MAX_RESPONSE_TIME);
    while (Instant.now().isBefore(end)) {
      pause();
      out.write(block);
    }
  }

  private void pause() {
    try {
      Thread.sleep(pauseMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
