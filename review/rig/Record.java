package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt of a case: what was sent, answered and run, with times. */
public final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  private Record(PrintWriter out) {
    this.out = out;
  }

  public static Record open(Path folder) throws IOException {
    return new Record(
        new PrintWriter(
            Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8)));
  }

  /** Writes a line: what happened, and names with their values. */
  public synchronized void line(String what, String... namesAndValues) {
    StringBuilder line = new StringBuilder();
    line.append(String.format("%8.3f s  %s", (System.nanoTime() - startNanos) / 1e9, what));
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      line.append(' ').append(namesAndValues[i]).append('=').append(namesAndValues[i + 1]);
    }
    out.println(line);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
