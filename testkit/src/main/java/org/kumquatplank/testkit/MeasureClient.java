package org.kumquatplank.testkit;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;

/**
 * Measures the router with real processes: the latency it adds to chat requests and bookings, its
 * log appends, and the time until a configuration change is in force. Exits with 1 if a request
 * failed or a bound was exceeded.
 */
public final class MeasureClient {
  private static final Gson GSON = new Gson();
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
  private static final int REQUESTS_PER_SECOND = 500;
  private static final int WARM_UP_REQUESTS = 3_000;
  private static final int REQUESTS = 5_000;
  private static final int BOOKINGS = 400;
  private static final int BOOKINGS_PER_SECOND = 50;
  private static final int CONFIG_CHANGES = 20;
  private static final double MAX_MEDIAN_OVERHEAD_MILLIS = 1;
  private static final double MAX_P99_OVERHEAD_MILLIS = 5;
  private static final double MAX_PUBLISH_MILLIS = 4_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final PooledHttpClient client = PooledHttpClient.create();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Options options;
  private boolean failed;

  private MeasureClient(Options options) {
    this.options = options;
  }

  /** The response to a configuration change. */
  private record PublishStatus(long version, boolean in_force) {}

  /** Runs all measurements. */
  public static void main(String[] args) throws InterruptedException {
    MeasureClient client = new MeasureClient(new Options(args));
    client.measureOverhead();
    client.measureClaims();
    client.measurePublishing();
    System.exit(client.failed ? 1 : 0);
  }

  private void printResult(String metric, double value, String unit, double bound) {
    boolean bounded = !Double.isNaN(bound);
    boolean exceeded = bounded && value > bound;
    failed |= exceeded;
    String verdict = "-";
    if (bounded) {
      verdict = exceeded ? "FAIL" : "PASS";
    }
    System.out.printf(
        Locale.ROOT,
        "%-26s %-10s %-14s %10.3f %-8s %-8s %s%n",
        metric,
        "loopback",
        "kumquatplank",
        value,
        unit,
        bounded ? "<=" + bound : "-",
        verdict);
  }

  /**
   * Sends requests at a constant rate, without waiting for responses, and returns the latencies of
   * the successful ones in milliseconds, sorted.
   */
  private List<Double> sendLoad(
      String endpoint, int count, int requestsPerSecond, IntFunction<Request> requests)
      throws InterruptedException {
    List<Double> latencies = Collections.synchronizedList(new ArrayList<>());
    AtomicInteger failures = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(count);
    long start = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long dueNanos = start + i * NANOS_PER_SECOND / requestsPerSecond;
      LockSupport.parkNanos(dueNanos - System.nanoTime());
      Request request = requests.apply(i);
      executor.execute(
          () -> {
            long sentNanos = System.nanoTime();
            try {
              Instant deadline = Instant.now().plus(REQUEST_TIMEOUT);
              FullResponse reply = client.exchange(endpoint, request, deadline, Reuse.REUSE);
              if (reply.isSuccess()) {
                latencies.add((System.nanoTime() - sentNanos) / 1e6);
              } else {
                failures.incrementAndGet();
              }
            } catch (CallException e) {
              failures.incrementAndGet();
            } finally {
              done.countDown();
            }
          });
    }
    done.await();
    if (failures.get() > 0) {
      System.out.println("failed requests: " + failures.get() + " of " + count);
      failed = true;
    }
    return latencies.stream().sorted().toList();
  }

  private static double quantile(List<Double> sorted, double fraction) {
    return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(fraction * sorted.size())));
  }

  private static Request chatRequest(String model) {
    String body =
        "{\"model\":\""
            + model
            + "\",\"max_tokens\":1,\"messages\":"
            + "[{\"role\":\"user\",\"content\":\"tokens=1\"}]}";
    return authenticated(Request.post("/v1/chat/completions", body));
  }

  private static Request authenticated(Request request) {
    return request
        .withHeader("Authorization", "Bearer " + System.getenv("KUMQUATPLANK_API_KEY"))
        .withHeader("Request-Id", "measure");
  }

  private void measureOverhead() throws InterruptedException {
    String engine = options.getString("engine", "");
    String entry = options.getString("entry", "");
    sendLoad(engine, WARM_UP_REQUESTS, REQUESTS_PER_SECOND, i -> chatRequest("small@1"));
    sendLoad(entry, WARM_UP_REQUESTS, REQUESTS_PER_SECOND, i -> chatRequest("tag"));
    List<Double> direct =
        sendLoad(engine, REQUESTS, REQUESTS_PER_SECOND, i -> chatRequest("small@1"));
    long appendsBefore = readAppendCount();
    List<Double> routed = sendLoad(entry, REQUESTS, REQUESTS_PER_SECOND, i -> chatRequest("tag"));
    Processes.sleep(1_000);
    double appendsPerThousand = (readAppendCount() - appendsBefore) * 1_000.0 / REQUESTS;
    double median = quantile(routed, 0.5) - quantile(direct, 0.5);
    double p99 = quantile(routed, 0.99) - quantile(direct, 0.99);
    printResult("direct_median", quantile(direct, 0.5), "ms", Double.NaN);
    printResult("direct_p99", quantile(direct, 0.99), "ms", Double.NaN);
    printResult("overhead_median", median, "ms", MAX_MEDIAN_OVERHEAD_MILLIS);
    printResult("overhead_p99", p99, "ms", MAX_P99_OVERHEAD_MILLIS);
    printResult("appends_per_1000_chats", appendsPerThousand, "appends", Double.NaN);
  }

  private long readAppendCount() {
    Instant deadline = Instant.now().plus(REQUEST_TIMEOUT);
    String platform = options.getString("platform", "");
    FullResponse reply = client.exchange(platform, Request.get("/stats"), deadline, Reuse.FRESH);
    return GSON.fromJson(reply.body(), JsonObject.class).get("appends").getAsLong();
  }

  private void measureClaims() throws InterruptedException {
    String service = options.getString("service", "");
    String entry = options.getString("entry", "");
    String suffix = "-" + System.nanoTime();
    List<Double> direct =
        sendLoad(
            service,
            BOOKINGS,
            BOOKINGS_PER_SECOND,
            i -> bookingRequest("/bookings", "d" + i + suffix));
    long appendsBefore = readAppendCount();
    List<Double> routed =
        sendLoad(
            entry,
            BOOKINGS,
            BOOKINGS_PER_SECOND,
            i -> bookingRequest("/v1/services/press/bookings", "r" + i + suffix));
    double appendsPerThousand = (readAppendCount() - appendsBefore) * 1_000.0 / BOOKINGS;
    printResult(
        "claim_added_median", quantile(routed, 0.5) - quantile(direct, 0.5), "ms", Double.NaN);
    printResult(
        "claim_added_p99", quantile(routed, 0.99) - quantile(direct, 0.99), "ms", Double.NaN);
    printResult("appends_per_1000_bookings", appendsPerThousand, "appends", Double.NaN);
  }

  private static Request bookingRequest(String path, String key) {
    return authenticated(Request.post(path, "{\"shift\":1}")).withHeader("Idempotency-Key", key);
  }

  private void measurePublishing() {
    List<Double> publishMillis = new ArrayList<>();
    long baseVersion = 1;
    for (int i = 0; i < CONFIG_CHANGES; i++) {
      String ops =
          "[{\"version\":{\"name\":\"spare@1\",\"promptCost\":"
              + i
              + ",\"completionCost\":1,\"stage\":\"WITHDRAWN\"}}]";
      String body = "{\"base\":" + baseVersion + ",\"author\":\"measure\",\"ops\":" + ops + "}";
      Request request =
          Request.post("/admin/config?wait_ms=10000", body)
              .withHeader("Authorization", "Bearer " + System.getenv("KUMQUATPLANK_ADMIN_TOKEN"));
      long start = System.nanoTime();
      FullResponse reply =
          client.exchange(
              options.getString("admin", ""),
              request,
              Instant.now().plus(REQUEST_TIMEOUT),
              Reuse.REUSE);
      PublishStatus status = GSON.fromJson(reply.body(), PublishStatus.class);
      failed |= !status.in_force();
      baseVersion = status.version();
      publishMillis.add((System.nanoTime() - start) / 1e6);
    }
    Collections.sort(publishMillis);
    printResult("publish_median", quantile(publishMillis, 0.5), "ms", Double.NaN);
    printResult(
        "publish_slowest", publishMillis.get(publishMillis.size() - 1), "ms", MAX_PUBLISH_MILLIS);
  }
}
