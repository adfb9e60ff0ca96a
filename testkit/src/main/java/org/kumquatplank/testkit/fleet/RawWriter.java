package org.kumquatplank.testkit.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Writes the responses of a stand-in for a backend server, and ends its connections. */
final class RawWriter {
  private RawWriter() {}

  /** Writes the events of a stream; returns whether the stream is whole. */
  static boolean writeStream(
      OutputStream out, String serverId, Received request, Behaviour.Stream stream)
      throws IOException {
    String lastEventId = request.header("last-event-id");
    int firstEvent = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
    write(
        out,
        FakeBackendServer.OK_HEAD
            + new ResponseText(serverId, request.header("x-attempt-id")).identity()
            + "X-Confidence: "
            + stream.confidence()
            + "\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = firstEvent; i <= stream.last(); i++) {
      String event = "id: " + i + "\ndata: piece " + i + "\n\n";
      if (stream.breakAfter() > 0 && i > stream.breakAfter()) {
        writeChunk(out, event.substring(0, event.length() / 2));
        return false;
      }
      writeChunk(out, event);
    }
    write(out, "0\r\n\r\n");
    return true;
  }

  /** Writes bytes and ends the connection; returns that it can't be used any more. */
  static boolean writeAndEnd(Socket socket, Behaviour.RawEnd response) throws IOException {
    write(socket.getOutputStream(), response.bytes());
    switch (response.end()) {
      case RESET -> {
        pause(response.pauseMillis());
        socket.setSoLinger(true, 0);
      }
      case HALF_CLOSE_AND_RESET -> {
        socket.shutdownOutput();
        pause(response.pauseMillis());
        socket.setSoLinger(true, 0);
      }
      case HALF_CLOSE_AND_READ -> {
        socket.shutdownOutput();
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
      }
    }
    return false;
  }

  private static void writeChunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
