package org.kumquatplank.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads the data fields of server-sent events one by one. Confined to one thread. */
public final class EventReader {
  private static final String DATA_FIELD = "data:";
  private static final int MAX_LINE_CHARS = 1 << 20;

  private final BufferedReader reader;
  private final Consumer<Instant> deadlineSetter;
  private final Runnable onEnd;
  private boolean afterCarriageReturn;

  EventReader(InputStream in, Consumer<Instant> deadlineSetter, Runnable onEnd) {
    this.reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    this.deadlineSetter = deadlineSetter;
    this.onEnd = onEnd;
  }

  /**
   * Returns the data of the next event, or empty at the end of the stream.
   *
   * @param deadline time by which the next event must arrive
   * @throws IOException when the connection fails, no event arrives before the deadline, or a line
   *     is too long
   */
  public Optional<String> next(Instant deadline) throws IOException {
    deadlineSetter.accept(deadline);
    Optional<String> line = readLine();
    while (line.isPresent()) {
      if (line.get().startsWith(DATA_FIELD)) {
        return Optional.of(line.get().substring(DATA_FIELD.length()).strip());
      }
      line = readLine();
    }
    onEnd.run();
    return Optional.empty();
  }

  /** Returns the next line, which ends with LF, CR or both, or empty at the end of the stream. */
  private Optional<String> readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = reader.read(); c >= 0; c = reader.read()) {
      boolean secondOfLineEnd = afterCarriageReturn && c == '\n';
      afterCarriageReturn = c == '\r';
      if (secondOfLineEnd) {
        continue;
      }
      if (c == '\n' || c == '\r') {
        return Optional.of(line.toString());
      }
      if (line.length() == MAX_LINE_CHARS) {
        throw new IOException("a line of the event stream is too long");
      }
      line.append((char) c);
    }
    return line.isEmpty() ? Optional.empty() : Optional.of(line.toString());
  }
}
