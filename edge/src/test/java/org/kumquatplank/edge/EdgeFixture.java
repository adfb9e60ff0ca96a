package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.kumquatplank.platform.wire.EdgeSettings;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;
import org.kumquatplank.testkit.fleet.FakeStore;

/** An instance in this process, with a store and backend servers that behave as a test scripts. */
final class EdgeFixture implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final long TIMEOUT_MILLIS = 8_000;
  private static final int FIRST_PORT = 20_000;
  private static final int PORT_RANGE = 10_000;
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 64 % PORT_RANGE));

  private final FakeStore store;
  private final List<FakeBackendServer> backends = new ArrayList<>();
  private final EventLoop trafficLoop = loop();
  private final EventLoop controlLoop = loop();
  private final EdgeSettings settings;
  private final DataPlane dataPlane;
  private int version = 1;
  private String coldStart = "";
  private int maxBodyBytes = 65_536;

  private EdgeFixture(long graceMillis) throws IOException {
    store = FakeStore.open(HOST);
    settings =
        new EdgeSettings(
            "self",
            HOST,
            "a",
            "r",
            Map.of("a", "r", "b", "r", "c", "far"),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            freeAddress().getPort(),
            List.of(),
            store.address(),
            new EdgeSettings.Limits(0.9, 50, 10_000, graceMillis, 5, 3_000, 1, 0),
            EdgeSettings.Resources.UNLIMITED);
    dataPlane = new DataPlane(settings, EdgeOptions.DEFAULT, trafficLoop);
  }

  private static EventLoop loop() {
    return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  }

  /**
   * Returns a free address.
   *
   * <p>The port is below the ephemeral range. An outgoing connection once took a free port of that
   * range before the test could bind it.
   */
  static InetSocketAddress freeAddress() {
    while (true) {
      int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORT_RANGE;
      try (ServerSocket socket = new ServerSocket(port)) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
      } catch (IOException e) {
        // The port is in use; try the next one.
      }
    }
  }

  /** Starts an instance and one backend server per script. */
  @SafeVarargs
  static EdgeFixture start(Function<Received, Behaviour>... scripts) throws IOException {
    return start(8_000, List.of(scripts));
  }

  /** Starts an instance with a grace period in milliseconds, and one backend server per script. */
  static EdgeFixture start(long graceMillis, List<Function<Received, Behaviour>> scripts)
      throws IOException {
    return start(graceMillis, scripts, fixture -> {});
  }

  /**
   * Starts an instance and one backend server per script.
   *
   * <p>The failure domains of this instance's region are {@code a}, its own, and {@code b}; {@code
   * c} is in the region {@code far}.
   *
   * @param prepared called with the fixture before the instance starts
   */
  static EdgeFixture start(
      long graceMillis, List<Function<Received, Behaviour>> scripts, Consumer<EdgeFixture> prepared)
      throws IOException {
    EdgeFixture fixture = new EdgeFixture(graceMillis);
    fixture.putCatalog("\"key-1\"");
    for (Function<Received, Behaviour> script : scripts) {
      fixture.openBackend(script);
      fixture.putServer(fixture.backends.size() - 1);
    }
    prepared.accept(fixture);
    fixture.startInstance();
    fixture.await(() -> fixture.readiness() == 200);
    return fixture;
  }

  /** Registers a backend server in another failure domain. */
  void move(int number, String failureDomain) {
    FakeBackendServer backend = backends.get(number);
    String entry = backend.entry("pool", "ready");
    store.put(
        "servers",
        backend.id(),
        entry.replace("\"zone\":\"a\"", "\"zone\":\"" + failureDomain + "\""));
  }

  /** Starts an instance whose store is still empty, and a backend server that isn't listed. */
  static EdgeFixture startWithEmptyStore(Function<Received, Behaviour> script) throws IOException {
    EdgeFixture fixture = new EdgeFixture(8_000);
    fixture.openBackend(script);
    fixture.startInstance();
    return fixture;
  }

  private void openBackend(Function<Received, Behaviour> script) throws IOException {
    FakeBackendServer backend = FakeBackendServer.open(HOST, "i-" + backends.size(), script);
    backends.add(backend);
    backend.onRestart(endedId -> replaceEntry(endedId, backend));
  }

  /** Lists a backend server in the store. */
  void putServer(int number) {
    FakeBackendServer backend = backends.get(number);
    store.put("servers", backend.id(), backend.entry("pool", "ready"));
  }

  private void startInstance() {
    ControlPlane control = new ControlPlane(settings, 1, controlLoop, dataPlane);
    dataPlane.start(control::onReport);
    control.start();
  }

  private void replaceEntry(String endedId, FakeBackendServer backend) {
    store.drop("servers", endedId);
    store.put("servers", backend.id(), backend.entry("pool", "ready"));
  }

  FakeStore store() {
    return store;
  }

  FakeBackendServer backend(int number) {
    return backends.get(number);
  }

  /** Returns the address for traffic between instances. */
  InetSocketAddress peerAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), settings.firstPeerPort());
  }

  DataPlane dataPlane() {
    return dataPlane;
  }

  InetSocketAddress callerAddress() {
    return settings.callerAddress();
  }

  /** Returns the number of requests that are open at the instance. */
  int openExchanges() {
    return trafficLoop.submit(dataPlane::openExchanges).syncUninterruptibly().getNow();
  }

  /** Writes a configuration by which cold backend servers have to be spared. */
  void putColdStart(int requestsPerSecond) {
    coldStart = ",\"cold_start_s\":5,\"cold_per_s\":" + requestsPerSecond;
    putCatalog("\"key-1\"");
  }

  /** Writes a configuration that allows request bodies of this size, bytes. */
  void putMaxBodyBytes(int bytes) {
    maxBodyBytes = bytes;
    putCatalog("\"key-1\"");
  }

  /** Lets the traffic thread stand still for a time from now on, as in a frozen process. */
  void freeze(long millis) {
    CountDownLatch begun = new CountDownLatch(1);
    trafficLoop.execute(
        () -> {
          begun.countDown();
          pause(millis);
        });
    await(() -> begun.getCount() == 0);
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  /** Writes a new version of the configuration with these API keys. */
  void putCatalog(String keys) {
    putCatalog(keys, "", "");
  }

  /** Writes a new version with these regions of all routes and of the account, quoted names. */
  void putCatalog(String keys, String routeRegions, String accountRegions) {
    String route =
        "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"/%s/\",\"kind\":\"%s\","
            + "\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"pool\","
            + "\"max_attempts\":%d,\"resume_streams\":true,\"target_gap_ms\":800%s,"
            + "\"allowed_regions\":["
            + routeRegions
            + "]}";
    String routes =
        String.join(
            ",",
            String.format(route, "read", "read", "safe", 2, ""),
            String.format(route, "order", "order", "unsafe", 1, ""),
            String.format(route, "tell", "tell", "streaming", 3, ",\"sizes\":[\"s\",\"l\"]"));
    store.put(
        "op",
        "config",
        "{\"version\":"
            + version++
            + ",\"routes\":["
            + routes
            + "],\"services\":[{\"name\":\"pool\",\"connection_limit\":64"
            + coldStart
            + "}],"
            + "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":"
            + maxBodyBytes
            + ","
            + "\"header_timeout_ms\":600,\"idle_timeout_ms\":5000},"
            + "\"tenants\":[{\"name\":\"t\",\"api_keys\":["
            + keys
            + "],\"allowed_regions\":["
            + accountRegions
            + "]}]}");
  }

  /** Waits until a condition holds. */
  void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition did not hold within 8 s");
      }
      pause(20);
    }
  }

  int readiness() {
    try {
      return status(exchange(settings.readinessAddress(), "GET /readiness HTTP/1.0\r\n\r\n"));
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the request line and headers of a request. */
  static String head(String method, String path, String id, String moreHeaders) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-1\r\n"
        + moreHeaders
        + "\r\n";
  }

  /** Sends a request on a new connection and returns the complete response. */
  String send(String method, String path, String id, String moreHeaders) throws IOException {
    return exchange(
        settings.callerAddress(), head(method, path, id, "Connection: close\r\n" + moreHeaders));
  }

  /** Sends bytes on a new connection and returns all bytes received until it is closed. */
  String sendRaw(String bytes) throws IOException {
    return exchange(settings.callerAddress(), bytes);
  }

  /** Opens a connection as a caller. */
  Socket connect() throws IOException {
    return new Socket(settings.callerAddress().getAddress(), settings.callerAddress().getPort());
  }

  private static String exchange(InetSocketAddress address, String bytes) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout((int) TIMEOUT_MILLIS);
      OutputStream out = socket.getOutputStream();
      out.write(bytes.getBytes(StandardCharsets.UTF_8));
      out.flush();
      InputStream in = socket.getInputStream();
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      in.transferTo(all);
      return all.toString(StandardCharsets.UTF_8);
    }
  }

  /** Returns the status of a response, or 0 if there is none. */
  static int status(String response) {
    return response.length() < 12 ? 0 : Integer.parseInt(response.substring(9, 12));
  }

  /** Returns the body of a response, with chunked encoding removed. */
  static String body(String response) {
    String body = response.substring(response.indexOf("\r\n\r\n") + 4);
    if (!response.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
      return body;
    }
    StringBuilder decoded = new StringBuilder();
    int at = 0;
    while (at < body.length()) {
      int lineEnd = body.indexOf("\r\n", at);
      int length = Integer.parseInt(body.substring(at, lineEnd), 16);
      decoded.append(body, lineEnd + 2, lineEnd + 2 + length);
      at = lineEnd + 4 + length;
    }
    return decoded.toString();
  }

  @Override
  public void close() throws IOException {
    for (FakeBackendServer backend : backends) {
      backend.close();
    }
    store.close();
    trafficLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    controlLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
