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
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Request;

/** Measures real processes: the router's overhead, claims, appends, and publishing. */
public final class MeasureClient {
  private static final Gson GSON = new Gson();
  private static final Duration WAIT = Duration.ofSeconds(20);
  private static final int RATE = 500;
  private static final int WARM_UP = 3_000;
  private static final int REQUESTS = 5_000;
  private static final int BOOKINGS = 400;
  private static final int BOOKING_RATE = 50;
  private static final int CHANGES = 20;
  private static final double MEDIAN_BOUND_MILLIS = 1;
  private static final double TAIL_BOUND_MILLIS = 5;
  private static final double PUBLISH_BOUND_MILLIS = 4_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final PooledHttpClient client = PooledHttpClient.create();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Options options;
  private boolean missed;

  private MeasureClient(Options options) {
    this.options = options;
  }

  /** The answer to a change. */
  private record PublishStatus(long version, boolean in_force) {}

  /** Runs all measures. */
  public static void main(String[] args) throws InterruptedException {
    MeasureClient client = new MeasureClient(new Options(args));
    client.overhead();
    client.claims();
    client.publishing();
    System.exit(client.missed ? 1 : 0);
  }

  private void line(String measure, double value, String unit, double bound) {
    boolean bounded = !Double.isNaN(bound);
    boolean fails = bounded && value > bound;
    missed |= fails;
    String verdict = "-";
    if (bounded) {
      verdict = fails ? "FAIL" : "PASS";
    }
    System.out.printf(
        Locale.ROOT,
        "%-26s %-10s %-14s %10.3f %-8s %-8s %s%n",
        measure,
        "loopback",
        "kumquatplank",
        value,
        unit,
        bounded ? "<=" + bound : "-",
        verdict);
  }

  /** Sends requests at an even rate and returns the sorted latencies in milliseconds. */
  private List<Double> load(String endpoint, int count, int rate, IntFunction<Request> requests)
      throws InterruptedException {
    List<Double> latencies = Collections.synchronizedList(new ArrayList<>());
    AtomicInteger failures = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(count);
    long start = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long due = start + i * NANOS_PER_SECOND / rate;
      LockSupport.parkNanos(due - System.nanoTime());
      Request request = requests.apply(i);
      executor.execute(
          () -> {
            long sent = System.nanoTime();
            try {
              Instant deadline = Instant.now().plus(WAIT);
              WholeReply reply = client.exchange(endpoint, request, deadline, Reuse.REUSE);
              if (reply.isSuccess()) {
                latencies.add((System.nanoTime() - sent) / 1e6);
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
      missed = true;
    }
    return latencies.stream().sorted().toList();
  }

  private static double quantile(List<Double> sorted, double share) {
    return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(share * sorted.size())));
  }

  private static Request chat(String model) {
    String body =
        "{\"model\":\""
            + model
            + "\",\"max_tokens\":1,\"messages\":"
            + "[{\"role\":\"user\",\"content\":\"tokens=1\"}]}";
    return signed(Request.post("/v1/chat/completions", body));
  }

  private static Request signed(Request request) {
    return request
        .withHeader("Authorization", "Bearer " + System.getenv("KUMQUATPLANK_API_KEY"))
        .withHeader("Request-Id", "measure");
  }

  private void overhead() throws InterruptedException {
    String engine = options.text("engine", "");
    String entry = options.text("entry", "");
    load(engine, WARM_UP, RATE, i -> chat("small@1"));
    load(entry, WARM_UP, RATE, i -> chat("tag"));
    List<Double> direct = load(engine, REQUESTS, RATE, i -> chat("small@1"));
    long appends = appends();
    List<Double> routed = load(entry, REQUESTS, RATE, i -> chat("tag"));
    Processes.sleep(1_000);
    double perThousand = (appends() - appends) * 1_000.0 / REQUESTS;
    double median = quantile(routed, 0.5) - quantile(direct, 0.5);
    double tail = quantile(routed, 0.99) - quantile(direct, 0.99);
    line("direct_median", quantile(direct, 0.5), "ms", Double.NaN);
    line("direct_p99", quantile(direct, 0.99), "ms", Double.NaN);
    line("overhead_median", median, "ms", MEDIAN_BOUND_MILLIS);
    line("overhead_p99", tail, "ms", TAIL_BOUND_MILLIS);
    line("appends_per_1000_chats", perThousand, "appends", Double.NaN);
  }

  private long appends() {
    Instant deadline = Instant.now().plus(WAIT);
    String platform = options.text("platform", "");
    WholeReply reply = client.exchange(platform, Request.get("/stats"), deadline, Reuse.FRESH);
    return GSON.fromJson(reply.body(), JsonObject.class).get("appends").getAsLong();
  }

  private void claims() throws InterruptedException {
    String service = options.text("service", "");
    String entry = options.text("entry", "");
    String suffix = "-" + System.nanoTime();
    List<Double> direct =
        load(service, BOOKINGS, BOOKING_RATE, i -> booking("/bookings", "d" + i + suffix));
    long appends = appends();
    List<Double> routed =
        load(
            entry,
            BOOKINGS,
            BOOKING_RATE,
            i -> booking("/v1/services/press/bookings", "r" + i + suffix));
    double perThousand = (appends() - appends) * 1_000.0 / BOOKINGS;
    line("claim_added_median", quantile(routed, 0.5) - quantile(direct, 0.5), "ms", Double.NaN);
    line("claim_added_p99", quantile(routed, 0.99) - quantile(direct, 0.99), "ms", Double.NaN);
    line("appends_per_1000_bookings", perThousand, "appends", Double.NaN);
  }

  private static Request booking(String path, String key) {
    return signed(Request.post(path, "{\"shift\":1}")).withHeader("Idempotency-Key", key);
  }

  private void publishing() {
    List<Double> millis = new ArrayList<>();
    long base = 1;
    for (int i = 0; i < CHANGES; i++) {
      String ops =
          "[{\"version\":{\"name\":\"spare@1\",\"promptCost\":"
              + i
              + ",\"completionCost\":1,\"stage\":\"WITHDRAWN\"}}]";
      String body = "{\"base\":" + base + ",\"author\":\"measure\",\"ops\":" + ops + "}";
      Request request =
          Request.post("/admin/config?wait_ms=10000", body)
              .withHeader("Authorization", "Bearer " + System.getenv("KUMQUATPLANK_ADMIN_TOKEN"));
      long start = System.nanoTime();
      WholeReply reply =
          client.exchange(
              options.text("admin", ""), request, Instant.now().plus(WAIT), Reuse.REUSE);
      PublishStatus status = GSON.fromJson(reply.body(), PublishStatus.class);
      missed |= !status.in_force();
      base = status.version();
      millis.add((System.nanoTime() - start) / 1e6);
    }
    Collections.sort(millis);
    line("publish_median", quantile(millis, 0.5), "ms", Double.NaN);
    line("publish_slowest", millis.get(millis.size() - 1), "ms", PUBLISH_BOUND_MILLIS);
  }
}
