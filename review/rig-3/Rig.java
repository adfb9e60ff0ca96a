import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** What the cases share: the record, the parts to close, and the texts of the configuration. */
final class Rig implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;
  static final long TIMEOUT_MILLIS = 4_000;
  static final byte[] NOTHING = {};

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final List<AutoCloseable> parts = new ArrayList<>();

  private Rig(Path caseFolder) throws IOException {
    folder = Files.createTempDirectory("review-3-");
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
    record("trouble: " + trouble);
  }

  /** A case; returns whether the rule held. */
  interface Body {
    boolean run(Rig rig) throws Exception;
  }

  /** Runs a case and ends this process with its exit status. */
  static void run(String[] arguments, Body body) {
    int status = NOT_RUN;
    try (Rig rig = new Rig(Path.of(arguments[0]))) {
      try {
        status = body.run(rig) ? HELD : BROKEN;
      } catch (Exception e) {
        rig.record("the case could not run: " + e);
      }
      rig.record(
          switch (status) {
            case HELD -> "the rule held";
            case BROKEN -> "THE RULE WAS BROKEN";
            default -> "not run";
          });
    } catch (Exception e) {
      System.err.println(e);
      status = NOT_RUN;
    }
    System.exit(status);
  }

  synchronized void record(String line) {
    String text =
        String.format(Locale.ROOT, "%8.3f s  %s", (System.nanoTime() - startedAt) / 1e9, line);
    record.println(text);
    record.flush();
    System.out.println(text);
  }

  <T extends AutoCloseable> T add(T part) {
    parts.add(part);
    return part;
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(millis);
  }

  static String route(String name, String kind, String service, long timeout, String more) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"r-%s\",\"host\":\"h.example\",\"path_prefix\":\"/%s/\",\"kind\":\"%s\","
            + "\"timeout_ms\":%d,\"target_latency_ms\":2000,\"priority\":1,\"service\":\"%s\","
            + "\"max_attempts\":3%s}",
        name,
        name,
        kind,
        timeout,
        service,
        more);
  }

  static String plainService(String name) {
    return "{\"name\":\"" + name + "\",\"health_check_path\":\"/health\",\"connection_limit\":96}";
  }

  static String config(
      int version, String routes, String services, int maxBodyBytes, String tenants) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + routes
        + "],\"services\":["
        + services
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
        + maxBodyBytes
        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
        + tenants
        + "}";
  }

  /** Returns a replica of a plain service that answers each request at once. */
  Backend desk(String id, String service) throws IOException {
    return add(
        new Backend(
            id,
            service,
            "v1",
            6,
            (self, request, out) -> {
              Thread.sleep(20);
              byte[] body = ("done by " + id).getBytes();
              self.head(out, request, 200, "", body.length);
              out.write(body);
              out.flush();
              return true;
            }));
  }

  Instance instance(String name, Store store) throws Exception {
    Instance instance = add(new Instance(folder, name, store.address(), 8));
    instance.start();
    instance.awaitReady(15_000);
    record("instance " + name + " is ready, process " + instance.pid());
    return instance;
  }

  @Override
  public void close() throws Exception {
    for (int i = parts.size() - 1; i >= 0; i--) {
      try {
        parts.get(i).close();
      } catch (Exception e) {
        record("could not close a part: " + e);
      }
    }
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
    record.close();
  }
}
