package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The client's side of HTTP/1.1, as far as the cases need it. */
final class Http {
  private static final int CONNECT_MILLIS = 1_000;

  private Http() {}

  /**
   * A request of a client.
   *
   * @param headers further header lines, each with its line end
   */
  record Request(
      String method, String path, String host, String attempt, int timeLimitMillis, String headers) {
    byte[] head(int bodyBytes) {
      String length = method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n";
      return "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s\r\n"
          .formatted(method, path, host, attempt, timeLimitMillis, headers, length)
          .getBytes(StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * What the client got.
   *
   * @param status the status, or 0 where the channel ended without an answer
   * @param complete whether the whole body arrived
   */
  record Answer(int status, Map<String, String> headers, String body, boolean complete) {
    static final Answer NONE = new Answer(0, Map.of(), "", false);

    @Override
    public String toString() {
      String text = body.length() > 40 ? body.length() + " bytes" : body.strip();
      return status == 0
          ? "no answer"
          : status + " (" + text + ")" + (complete ? "" : ", cut off in the middle");
    }
  }

  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  /** Reads an answer; one that ends early is returned as far as it came. */
  static Answer read(InputStream in) {
    int status = 0;
    Map<String, String> headers = new LinkedHashMap<>();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = false;
    try {
      status = Integer.parseInt(line(in).split(" ")[1]);
      for (String h = line(in); !h.isEmpty(); h = line(in)) {
        int colon = h.indexOf(':');
        headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
      }
      if (headers.containsKey("transfer-encoding")) {
        readChunks(in, body);
        complete = true;
      } else {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        body.write(in.readNBytes(length));
        complete = body.size() == length;
      }
    } catch (IOException e) {
      // The channel ended, or the client's time is up.
    }
    return status == 0
        ? Answer.NONE
        : new Answer(status, headers, body.toString(StandardCharsets.UTF_8), complete);
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    for (int n = Integer.parseInt(line(in), 16); n > 0; n = Integer.parseInt(line(in), 16)) {
      body.write(in.readNBytes(n));
      line(in);
    }
    line(in);
  }

  /** Sends a request on a new channel, and returns what came back within the time limit. */
  static Answer call(String address, Request request, int bodyBytes) {
    try (Socket socket = connect(address)) {
      socket.setSoTimeout(request.timeLimitMillis());
      socket.getOutputStream().write(request.head(bodyBytes));
      socket.getOutputStream().write(new byte[bodyBytes]);
      socket.getOutputStream().flush();
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return Answer.NONE;
    }
  }

  static Socket connect(String address) throws IOException {
    int colon = address.indexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(address.substring(0, colon), port), CONNECT_MILLIS);
    socket.setTcpNoDelay(true);
    return socket;
  }
}
