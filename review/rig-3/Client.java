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

/** A client's channel to an instance, which it keeps for many requests. */
final class Client implements AutoCloseable {
  final Socket socket = new Socket();
  final InputStream in;

  Client(int port) throws IOException {
    socket.connect(new InetSocketAddress("127.0.0.1", port), 3_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(10_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** An answer. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  void send(String line, String id, long deadline, String headers, byte[] body)
      throws IOException {
    String head =
        line
            + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + deadline
            + "\r\n"
            + headers
            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "")
            + "\r\n";
    byte[] bytes = new byte[head.length() + body.length];
    System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, bytes, 0, head.length());
    System.arraycopy(body, 0, bytes, head.length(), body.length);
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  /** Reads an answer; one to HEAD has no body, whatever its headers say. */
  Answer read(boolean toHead) throws IOException {
    String status = line();
    if (!status.matches("HTTP/1\\.1 [1-5][0-9][0-9].*")) {
      throw new IOException("bytes that are no answer: \"" + status + "\"");
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = line(); !header.isEmpty(); header = line()) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int code = Integer.parseInt(status.substring(9, 12));
    byte[] body = new byte[0];
    if (!toHead && headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
        all.write(in.readNBytes(size));
        line();
      }
      line();
      body = all.toByteArray();
    } else if (!toHead) {
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("the answer broke off");
      }
    }
    return new Answer(code, headers, body);
  }

  private String line() throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("the channel ended");
      }
      if (c != '\r') {
        text.append((char) c);
      }
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
