package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start. */
final class CaseRecord implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;

  CaseRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String format, Object... values) {
    double seconds = (System.nanoTime() - start) / 1e9;
    String text =
        String.format(Locale.ROOT, "%8.3f s  ", seconds) + String.format(Locale.ROOT, format, values);
    out.println(text);
    out.flush();
    System.out.println(text);
  }

  @Override
  public void close() {
    out.close();
  }
}
