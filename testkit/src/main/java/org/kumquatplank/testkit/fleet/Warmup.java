package org.kumquatplank.testkit.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/**
 * Runs a store and two backend servers for one instance of the router and sends requests through
 * it, so that the build can archive the classes that the instance loads.
 *
 * <p>Arguments: a settings file, in which {@code STORE} is replaced by the address of the store;
 * the port of the instance's listener for callers; and the duration in milliseconds.
 */
public final class Warmup {
  private static final String HOST = "127.0.0.1";
  private static final int RESPONSE_TIMEOUT_MILLIS = 1_000;
  private static final long ROUND_PAUSE_MILLIS = 20;
  private static final int PROBE_INTERVAL_ROUNDS = 10;

  private Warmup() {}

  /** Runs for the given duration, then exits. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Path settings = Path.of(arguments[0]);
    int port = Integer.parseInt(arguments[1]);
    long endNanos = System.nanoTime() + Long.parseLong(arguments[2]) * 1_000_000;
    Behaviour response = new Behaviour.Answer(200, "good");
    Behaviour events = new Behaviour.Stream(20, 0, 90);
    try (FakeStore store = FakeStore.open(HOST);
        FakeBackendServer plain = FakeBackendServer.open(HOST, "p", r -> response);
        FakeBackendServer engine = FakeBackendServer.open(HOST, "e", r -> events)) {
      InetSocketAddress address = store.address();
      String template = Files.readString(settings);
      String storeAddress = address.getHostString() + ":" + address.getPort();
      Files.writeString(settings, template.replace("STORE", storeAddress));
      store.put("op", "config", catalog());
      store.put("servers", "p", plain.entry("desk", "ready"));
      store.put("servers", "e", engine.entry("pool", "ready"));
      for (int i = 0; System.nanoTime() < endNanos; i++) {
        send(port, "GET /read/x", "r" + i);
        send(port, "POST /tell/x", "s" + i);
        if (i % PROBE_INTERVAL_ROUNDS == 0) {
          send(port + 1, "GET /readiness", "q" + i);
          send(port + 2, "GET /resolve?name=h&region=r&zone=a", "q" + i);
        }
        store.put("servers", "e", engine.entry("pool", "ready"));
        Thread.sleep(ROUND_PAUSE_MILLIS);
      }
    }
  }

  private static String catalog() {
    String route =
        "{\"name\":\"%s\",\"host\":\"h\",\"path_prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":900,"
            + "\"target_latency_ms\":400,\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,"
            + "\"resume_streams\":true,\"target_gap_ms\":800%s}";
    return "{\"version\":1,\"routes\":["
        + String.format(route, "read", "read", "safe", "desk", "")
        + ","
        + String.format(route, "tell", "tell", "streaming", "pool", ",\"sizes\":[\"s\",\"l\"]")
        + "],\"services\":[{\"name\":\"desk\",\"connection_limit\":64},{\"name\":\"pool\","
        + "\"connection_limit\":64,\"engine\":{\"models\":[{\"name\":\"s\",\"cost\":0.1}]}}],"
        + "\"limits\":{},\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}";
  }

  private static void send(int port, String requestLine, String attemptId) {
    String request =
        requestLine
            + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
            + attemptId
            + "\r\nX-Deadline-Ms: 900\r\nX-Model: *\r\nX-Token-Counts: 900,80\r\n"
            + "X-Prompt-Prefix: a:400,b:500\r\nAuthorization: Token k\r\n"
            + "Content-Length: 0\r\nConnection: close\r\n\r\n";
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      in.readAllBytes();
    } catch (IOException e) {
      // The instance is not listening yet.
    }
  }
}
