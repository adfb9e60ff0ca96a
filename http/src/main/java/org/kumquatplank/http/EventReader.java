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

  private final BufferedReader reader;
  private final Consumer<Instant> deadlineSetter;
  private final Runnable onEnd;

  EventReader(InputStream in, Consumer<Instant> deadlineSetter, Runnable onEnd) {
    this.reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    this.deadlineSetter = deadlineSetter;
    this.onEnd = onEnd;
  }

  /**
   * Returns the data of the next event, or empty at the end of the stream.
   *
   * @param deadline time by which the next event must arrive
   * @throws IOException when the connection fails or no data arrives before the deadline
   */
  public Optional<String> next(Instant deadline) throws IOException {
    deadlineSetter.accept(deadline);
    String line = reader.readLine();
    while (line != null) {
      if (line.startsWith(DATA_FIELD)) {
        return Optional.of(line.substring(DATA_FIELD.length()).strip());
      }
      line = reader.readLine();
    }
    onEnd.run();
    return Optional.empty();
  }
}
