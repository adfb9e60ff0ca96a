package org.kumquatplank.edge.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;
import org.kumquatplank.testkit.fleet.FakeStore;

/**
 * The last phase of the soak test: engines that end as they begin to respond to one prompt segment,
 * before instances that have been through a series of faults.
 */
final class SegmentCrashPhase implements AutoCloseable {
  /** Route of this phase, to be added to the configuration. */
  static final String ROUTE =
      "{\"name\":\"tell\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/tell/\",\"kind\":\"streaming\","
          + "\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"engines\","
          + "\"max_attempts\":3,\"resume_streams\":true,\"target_gap_ms\":800,\"sizes\":[\"s\"]}";

  private static final int ENGINES = 5;
  private static final int CRASHES = 5;
  private static final int MAX_LATE_SENDS = 3;
  private static final long DOWN_MILLIS = 600;
  private static final long STABLE_WINDOW_MILLIS = 4_000;
  private static final long MAX_WAIT_MILLIS = 8_000;
  private static final long PAUSE_MILLIS = 60;

  private final List<FakeBackendServer> engines = new ArrayList<>();
  private final AtomicInteger arrivals = new AtomicInteger();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final int[] entryPorts;
  private int requests;
  private int sound;
  private int begun;

  private SegmentCrashPhase(int[] entryPorts) {
    this.entryPorts = entryPorts.clone();
  }

  /** Starts the engines and registers them. */
  static SegmentCrashPhase open(FakeStore store, int[] entryPorts) throws IOException {
    SegmentCrashPhase phase = new SegmentCrashPhase(entryPorts);
    for (int i = 0; i < ENGINES; i++) {
      FakeBackendServer engine = FakeBackendServer.open("127.0.0.1", "e-" + i, phase::respond);
      phase.engines.add(engine);
      store.put("servers", engine.id(), engine.entry("engines", "ready"));
      engine.onRestart(
          endedId -> {
            store.drop("servers", endedId);
            store.put("servers", engine.id(), engine.entry("engines", "ready"));
          });
    }
    return phase;
  }

  private Behaviour respond(Received request) {
    if (request.header("X-Prompt-Prefix").contains("bad")) {
      arrivals.incrementAndGet();
      return new Behaviour.Crash(DOWN_MILLIS);
    }
    return new Behaviour.Stream(3, 0, 100);
  }

  /** Returns the violations. */
  List<String> run() throws InterruptedException {
    List<String> violations = new ArrayList<>();
    sendUntil(System.nanoTime() + millis(MAX_WAIT_MILLIS), CRASHES);
    sendUntil(System.nanoTime() + millis(STABLE_WINDOW_MILLIS), Integer.MAX_VALUE);
    int before = arrivals.get();
    sound = 0;
    begun = 0;
    sendUntil(System.nanoTime() + millis(STABLE_WINDOW_MILLIS), Integer.MAX_VALUE);
    if (arrivals.get() - before > MAX_LATE_SENDS) {
      violations.add((arrivals.get() - before) + " late sends of a segment that crashes engines");
    }
    if (begun * 2 < sound) {
      violations.add("only " + begun + " of " + sound + " sound requests were served");
    }
    return violations;
  }

  private static long millis(long millis) {
    return millis * 1_000_000;
  }

  private void sendUntil(long end, int maxCrashes) throws InterruptedException {
    while (System.nanoTime() < end && crashes() < maxCrashes) {
      send("bad");
      sound++;
      begun += send("good-" + requests % 3) ? 1 : 0;
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  private int crashes() {
    return engines.stream().mapToInt(FakeBackendServer::crashes).sum();
  }

  private boolean send(String segment) throws InterruptedException {
    int port = entryPorts[requests++ % entryPorts.length];
    String prefix = String.format(Locale.ROOT, "first:50,%s:20,own-%d:5", segment, requests);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/tell/x"))
            .timeout(Duration.ofSeconds(3))
            .header("X-Attempt-Id", "t-" + requests)
            .header("X-Deadline-Ms", "1500")
            .header("X-Model", "*")
            .header("X-Token-Counts", "75,20")
            .header("X-Prompt-Prefix", prefix)
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
    } catch (IOException e) {
      // The instance or its engine went away; the request counts as not served.
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    for (FakeBackendServer engine : engines) {
      engine.close();
    }
  }
}
