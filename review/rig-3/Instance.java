import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** One entry instance, started with the command of the deploy file. */
final class Instance implements AutoCloseable {
  private static final int PORTS = 8;
  private static int nextPort = 21_000 + (int) (ProcessHandle.current().pid() % 1000) * PORTS;

  final int firstPort;
  final Path settings;
  private final Path folder;
  private final String name;
  private Process process;

  Instance(Path folder, String name, String store, int grace) throws IOException {
    this.folder = folder;
    this.name = name;
    firstPort = freePorts();
    settings = folder.resolve(name + ".json");
    Files.writeString(settings, text(store, grace));
  }

  /** Settings of a small deployment; the loopback address takes the place of a machine's own. */
  String text(String store, int grace) {
    return String.format(
        Locale.ROOT,
        "{\"node\":\"%s\",\"role\":\"entry\",\"machine_class\":\"front\",\"ip\":\"127.0.0.1\","
            + "\"zone\":\"a\",\"region\":\"r\",\"zones\":{\"a\":\"r\"},\"seeds\":[],"
            + "\"internal_port_range\":[%d,%d],\"bootstrap\":true,"
            + "\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":280,"
            + "\"file_descriptors\":4200,\"link_mbps\":1000.0,\"disk_mb\":0},"
            + "\"bounds\":{\"stable_window_ms\":4000,\"drain_ms\":3000,\"grace_s\":%d,"
            + "\"config_propagation_ms\":3000,\"retry_budget_ratio\":0.9,\"budget_window_s\":10,"
            + "\"retry_budget_slack\":52,\"exposure_share\":0.15,\"exposure_slack\":30,"
            + "\"rollback_ms\":5000,\"session_s\":5,\"ttl_max_s\":5},"
            + "\"platform\":{\"address\":\"%s\",\"form\":\"log\"},"
            + "\"listen_addresses\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\","
            + "\"directory\":\"127.0.0.1:%d\",\"control\":\"127.0.0.1:%d\"}}",
        name,
        firstPort,
        firstPort + 1,
        grace,
        store,
        firstPort + 2,
        firstPort + 3,
        firstPort + 4,
        firstPort + 5);
  }

  private static synchronized int freePorts() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = nextPort;
      nextPort = nextPort + PORTS > 31_900 ? 21_000 : nextPort + PORTS;
      if (IntStream.range(port, port + PORTS).allMatch(Instance::isFree)) {
        return port;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  int callerPort() {
    return firstPort + 2;
  }

  void start() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run line in deploy/system.toml");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("KUMQUATPLANK_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
    process = builder.start();
  }

  /** Waits until the instance says that it is ready. */
  void awaitReady(long millis) throws Exception {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      try (Socket socket = new Socket("127.0.0.1", firstPort + 3)) {
        socket.setSoTimeout(1_000);
        socket
            .getOutputStream()
            .write("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
        if (new String(socket.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200")) {
          return;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(50);
    }
    throw new IOException("the instance " + name + " is not ready");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  void signal(String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  String log() throws IOException {
    return Files.readString(folder.resolve(name + ".log"));
  }

  @Override
  public void close() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }
}
