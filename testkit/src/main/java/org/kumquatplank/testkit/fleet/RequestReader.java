package org.kumquatplank.testkit.fleet;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Reads requests from the connections to a stand-in. */
final class RequestReader {
  private RequestReader() {}

  /** Reads the request line and headers. */
  static Received readHead(InputStream in) throws IOException {
    String line = readLine(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    return new Received(line, headers, "");
  }

  /** Reads the body of a request and returns the whole request. */
  static Received readBody(InputStream in, Received head) throws IOException {
    int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return new Received(head.line(), head.headers(), body);
  }

  private static String readLine(InputStream in) throws IOException {
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
}
