package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from plain sockets. */
public final class Http {
  private Http() {}

  /** Head and body of a message; header names are in lower case. */
  public record Message(String line, Map<String, String> headers, byte[] body) {
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    public int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  public static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 16_384);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int c = in.read();
      if (c < 0) {
        if (line.isEmpty()) {
          return null;
        }
        throw new EOFException("end within a line");
      }
      if (c == '\n') {
        return line.toString();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
  }

  /** Reads a head; returns null at the end of the connection. */
  public static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      line = readLine(in);
    }
    if (line == null) {
      throw new EOFException("end within a head");
    }
    return new Message(first, headers, new byte[0]);
  }

  /** Reads a whole message; returns null at the end of the connection. */
  public static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      return null;
    }
    byte[] body = new byte[0];
    if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
      body = readChunked(in);
    } else if (!head.header("content-length").isEmpty()) {
      int length = Integer.parseInt(head.header("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("end within a body");
      }
    }
    return new Message(head.line(), head.headers(), body);
  }

  private static byte[] readChunked(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = readLine(in);
      if (size == null) {
        throw new EOFException("end within a chunked body");
      }
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      if (length == 0) {
        String trailer = readLine(in);
        while (trailer != null && !trailer.isEmpty()) {
          trailer = readLine(in);
        }
        return body.toByteArray();
      }
      byte[] chunk = in.readNBytes(length);
      if (chunk.length < length) {
        throw new EOFException("end within a chunk");
      }
      body.write(chunk);
      readLine(in);
    }
  }
}
