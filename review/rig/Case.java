package rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.stream.Stream;

/** What the cases have in common: the record, a temporary folder, and the end of all they started. */
public abstract class Case implements AutoCloseable {
  public static final int HELD = 0;
  public static final int BROKEN = 1;
  public static final int NOT_RUN = 2;

  protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  protected final Path temporary;
  protected final Record record;
  private final Deque<AutoCloseable> opened = new ArrayDeque<>();

  protected Case(Path folder) throws IOException {
    record = Record.open(folder);
    temporary = Files.createTempDirectory("case");
    Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
  }

  /** Runs the case, and returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  protected abstract int run() throws Exception;

  protected final <T extends AutoCloseable> T closeLater(T resource) {
    opened.push(resource);
    return resource;
  }

  private synchronized void closeAll() {
    while (!opened.isEmpty()) {
      try {
        opened.pop().close();
      } catch (Exception e) {
        System.err.println("could not end: " + e);
      }
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      // Deleted already.
    }
    record.close();
  }

  @Override
  public final void close() {
    closeAll();
  }

  /** Runs a case and ends the process with its result. */
  public static void main(Case theCase) {
    int result = NOT_RUN;
    try {
      result = theCase.run();
    } catch (Exception e) {
      e.printStackTrace();
      theCase.record.line("could-not-run", "cause", e.toString());
    }
    theCase.record.line("result", "exit", "" + result, "trouble", "" + theCase.trouble);
    System.out.println(
        (theCase.trouble ? "with" : "without")
            + " the disruption: "
            + (result == BROKEN ? "rule broken" : result == HELD ? "rule held" : "could not run"));
    System.exit(result);
  }

  /** Sends a request on a new connection and returns the answer, or null if there was none. */
  protected final Http.Message send(EntryProcess entry, String id, String text, int timeoutMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(entry.ip(), entry.port()), 1_000);
      socket.setSoTimeout(timeoutMillis);
      OutputStream out = socket.getOutputStream();
      InputStream in = Http.buffered(socket.getInputStream());
      record.line("sent", "id", id, "to", entry.ip());
      Replica.write(out, text);
      Http.Message answer = Http.read(in);
      record.line("answered", "id", id, "by", answer == null ? "closed" : answer.line());
      return answer;
    } catch (IOException e) {
      record.line("no-answer", "id", id, "cause", String.valueOf(e.getMessage()));
      return null;
    }
  }

  protected static String request(String line, String id, int deadlineMillis, String more, String body) {
    return line
        + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: "
        + deadlineMillis
        + "\r\nAuthorization: Token key-1\r\n"
        + more
        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
        + "\r\n"
        + body;
  }
}
