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

  static Received read(InputStream in) throws IOException {
    String line = readLine(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return new Received(line, headers, body);
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
