package org.kumquatplank.edge.soak;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;
import org.kumquatplank.testkit.fleet.FakeStore;

/**
 * One instance as a process with little memory and few descriptors, and what its process takes.
 *
 * <p>The route {@code /hold/} has a backend server that never responds, {@code /large/} one with
 * large responses, and {@code /read/} one that responds at once.
 */
final class LimitedInstance implements AutoCloseable {
  static final int MEMORY_MEGABYTES = 160;
  static final int DESCRIPTORS = 320;

  /** Descriptors that the platform keeps for files; sockets share the others. */
  static final int FILE_DESCRIPTORS = 200;

  static final int MAX_BODY_BYTES = 1024 * 1024;
  static final int MAX_HEAD_BYTES = 16 * 1024;
  private static final int LARGE_RESPONSE_BYTES = 256 * 1024;

  /** The range ends below the ephemeral ports, which any outgoing connection may take. */
  private static final int FIRST_PORT = 30_000;

  private static final int RANGES = 300;
  private static final int PORTS = 8;
  private static final int READ_TIMEOUT_MILLIS = 3_000;
  private static final int ATTEMPTS = 8;
  private static final long ATTEMPT_PAUSE_MILLIS = 250;

  private final FakeStore store = FakeStore.open("127.0.0.1");
  private final List<FakeBackendServer> backends = new ArrayList<>();
  private final int firstPort;
  private final File log;
  private final Process process;

  /** What the process takes now. */
  record Usage(long peakBytes, long unreadBytes, int descriptors, int sockets) {}

  private LimitedInstance(String name, int heapMegabytes) throws IOException {
    firstPort = freePorts();
    log = new File("target", name + ".log");
    String large = "x".repeat(LARGE_RESPONSE_BYTES);
    open("holders", request -> new Behaviour.Silent());
    open("readers", request -> new Behaviour.Answer(200, "good"));
    open("large", request -> new Behaviour.Answer(200, large));
    store.put("op", "config", catalog());
    process = start(name, heapMegabytes);
  }

  /** Starts an instance, and waits until it serves an ordinary request. */
  static LimitedInstance start(String name, int heapMegabytes, int attempts)
      throws IOException, InterruptedException {
    LimitedInstance instance = new LimitedInstance(name, heapMegabytes);
    if (!instance.servesOrdinaryRequest(attempts)) {
      instance.close();
      throw new IOException("the instance does not start");
    }
    return instance;
  }

  private void open(String service, Function<Received, Behaviour> behaviour) throws IOException {
    FakeBackendServer backend = FakeBackendServer.open("127.0.0.1", service, behaviour);
    backends.add(backend);
    store.put("servers", service, backend.entry(service, "ready"));
  }

  private static String catalog() {
    String route =
        "{\"name\":\"%s\",\"host\":\"h\",\"path_prefix\":\"/%s/\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":20000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"%s\","
            + "\"max_attempts\":1}";
    String service = "{\"name\":\"%s\",\"connection_limit\":64}";
    return "{\"version\":1,\"routes\":["
        + String.format(Locale.ROOT, route, "hold", "hold", "holders")
        + ","
        + String.format(Locale.ROOT, route, "read", "read", "readers")
        + ","
        + String.format(Locale.ROOT, route, "large", "large", "large")
        + "],\"services\":["
        + String.format(Locale.ROOT, service, "holders")
        + ","
        + String.format(Locale.ROOT, service, "readers")
        + ","
        + String.format(Locale.ROOT, service, "large")
        + "],\"limits\":{\"max_header_bytes\":"
        + MAX_HEAD_BYTES
        + ",\"max_body_bytes\":"
        + MAX_BODY_BYTES
        + ",\"header_timeout_ms\":30000,\"idle_timeout_ms\":30000}}";
  }

  private static int freePorts() throws IOException {
    int first = (int) (ProcessHandle.current().pid() % RANGES);
    for (int i = 0; i < RANGES; i++) {
      int port = FIRST_PORT + (first + i) % RANGES * PORTS;
      if (IntStream.range(port, port + PORTS).allMatch(LimitedInstance::isFree)) {
        return port;
      }
    }
    throw new IOException("no free ports from " + FIRST_PORT);
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  private Process start(String name, int heapMegabytes) throws IOException {
    String settings =
        String.format(
            Locale.ROOT,
            "{\"node\":\"%s\",\"ip\":\"127.0.0.1\",\"zone\":\"a\",\"region\":\"r\","
                + "\"zones\":{\"a\":\"r\"},\"seeds\":[],\"internal_port_range\":[%d,%d],"
                + "\"bounds\":{\"grace_s\":1},\"platform\":{\"address\":\"127.0.0.1:%d\"},"
                + "\"limits\":{\"memory_mb\":%d,\"file_descriptors\":%d},"
                + "\"listen_addresses\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\","
                + "\"directory\":\"127.0.0.1:%d\"}}",
            name,
            firstPort,
            firstPort + 1,
            store.address().getPort(),
            MEMORY_MEGABYTES,
            DESCRIPTORS,
            callerPort(),
            readinessPort(),
            directoryPort());
    Path file = Path.of("target", name + ".json");
    Files.writeString(file, settings);
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    ProcessBuilder builder =
        new ProcessBuilder(
            "sh",
            "-c",
            "ulimit -n " + DESCRIPTORS + "; exec \"$@\"",
            "sh",
            java,
            "-Xms8m",
            "-Xmn3m",
            "-Xmx" + heapMegabytes + "m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxMetaspaceSize=48m",
            "-Djdk.nio.maxCachedBufferSize=65536",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.maxDirectMemory=" + 8 * 1024 * 1024,
            "-cp",
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            "org.kumquatplank.edge.EdgeMain");
    builder.environment().put("KUMQUATPLANK_NODE_FILE", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(log);
    return builder.start();
  }

  int callerPort() {
    return firstPort + 2;
  }

  int readinessPort() {
    return firstPort + 3;
  }

  int directoryPort() {
    return firstPort + 4;
  }

  int metricsPort() {
    return firstPort + 1;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  boolean isOutOfMemory() throws IOException {
    String text = Files.readString(log.toPath());
    return text.contains("OutOfMemoryError") || text.contains("OutOfDirectMemoryError");
  }

  Usage usage() throws IOException {
    if (!process.isAlive()) {
      return new Usage(0, 0, 0, 0);
    }
    Path directory = Path.of("/proc", Long.toString(process.pid()));
    long peakKilobytes = 0;
    for (String line : Files.readAllLines(directory.resolve("status"))) {
      if (line.startsWith("VmHWM:")) {
        peakKilobytes = Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    int descriptors = 0;
    int sockets = 0;
    try (Stream<Path> files = Files.list(directory.resolve("fd"))) {
      for (Path file : files.toList()) {
        descriptors++;
        sockets += isSocket(file) ? 1 : 0;
      }
    }
    return new Usage(1_024 * peakKilobytes, unreadBytes(), descriptors, sockets);
  }

  private static boolean isSocket(Path file) {
    try {
      return Files.readSymbolicLink(file).toString().startsWith("socket:");
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the bytes that the process has received and not read yet. */
  private long unreadBytes() throws IOException {
    long bytes = 0;
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      for (String line : Files.readAllLines(Path.of(table))) {
        String[] fields = line.trim().split("\\s+", -1);
        String local = fields[1].substring(fields[1].indexOf(':') + 1);
        if (local.length() == 4) {
          int port = Integer.parseInt(local, 16);
          if (port >= firstPort && port < firstPort + PORTS) {
            bytes += Long.parseLong(fields[4].substring(9), 16);
          }
        }
      }
    }
    return bytes;
  }

  /** Sends an ordinary request, as often as a caller may that is refused or gets no answer. */
  boolean servesOrdinaryRequest() throws InterruptedException {
    return servesOrdinaryRequest(ATTEMPTS);
  }

  private boolean servesOrdinaryRequest(int attempts) throws InterruptedException {
    for (int i = 0; i < attempts && process.isAlive(); i++) {
      if (send("o-" + i, "hello").startsWith("HTTP/1.1 200")) {
        return true;
      }
      Thread.sleep(ATTEMPT_PAUSE_MILLIS);
    }
    return false;
  }

  /** Sends a request; returns the response, or an empty text without one. */
  String send(String id, String body) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), callerPort()),
          READ_TIMEOUT_MILLIS);
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String request =
          "POST /read/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
              + id
              + "\r\nContent-Length: "
              + body.length()
              + "\r\nConnection: close\r\n\r\n"
              + body;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "";
    }
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    process.onExit().join();
    for (FakeBackendServer backend : backends) {
      backend.close();
    }
    store.close();
  }
}
