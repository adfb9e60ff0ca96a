package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case: arguments are the repository and the folder of the case. */
final class Case {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int COULD_NOT_RUN = 2;

  private Case() {}

  /** What a case works with. */
  record Context(Path repository, Path folder, CaseRecord record, boolean trouble) {}

  /** The steps of a case; returns whether the rule was broken. */
  interface Steps {
    boolean run(Context context) throws Exception;
  }

  /** Runs the steps, and exits with the status that tells the result. */
  static void run(String[] arguments, Steps steps) {
    int status;
    try {
      status = runInFolder(arguments, steps);
    } catch (IOException e) {
      System.err.println("could not run: " + e);
      status = COULD_NOT_RUN;
    }
    System.exit(status);
  }

  private static int runInFolder(String[] arguments, Steps steps) throws IOException {
    Path repository = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review");
    try (CaseRecord record = new CaseRecord(Path.of(arguments[1]).resolve("record.txt"))) {
      record.line(trouble ? "with the disruption" : "without the disruption");
      try {
        boolean broken = steps.run(new Context(repository, folder, record, trouble));
        record.line(broken ? "the rule was broken" : "the rule held");
        return broken ? BROKEN : HELD;
      } catch (Exception | LinkageError e) {
        record.line("could not run: %s", e);
        return COULD_NOT_RUN;
      }
    } finally {
      delete(folder);
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : deepestFirst) {
        Files.deleteIfExists(file);
      }
    }
  }
}
