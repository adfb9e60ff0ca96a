package org.kumquatplank.testkit;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.bills.BillReducer;
import org.kumquatplank.core.bills.BillWriter;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.ErrorResponses;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;
import org.kumquatplank.platform.HttpEventLog;

/** Sends a fixed mix of requests to the router and prints a table of results by work class. */
public final class DemoClient {
  private static final Gson GSON = new Gson();
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(40);
  private static final long BILL_WRITE_WAIT_MILLIS = 800;
  private static final int CONCURRENCY = 48;

  private final PooledHttpClient client = PooledHttpClient.create();
  private final DemoTable table = new DemoTable();
  private final String seedAddress;
  private final String platform;
  private List<String> addresses = List.of();
  private Instant addressesExpire = Instant.MIN;

  private DemoClient(String seedAddress, String platform) {
    this.seedAddress = seedAddress;
    this.platform = platform;
  }

  /** Instance addresses, and the time until which they may be used. */
  private record Addresses(List<String> addresses, String expires_at) {}

  /** One kind of request, with its share of the mix in percent. */
  private record RequestKind(String workClass, int percent, int tokens, String prompt) {}

  private static final List<RequestKind> REQUEST_MIX =
      List.of(
          new RequestKind("retelling", 10, 300, "retell this dream at length"),
          new RequestKind("title", 25, 8, "a chapter title"),
          new RequestKind("tag", 35, 3, "one mood word"),
          new RequestKind("booking", 10, 0, ""),
          new RequestKind("stock", 20, 0, ""));

  /** Runs the demonstration. */
  public static void main(String[] args) throws InterruptedException {
    Options options = new Options(args);
    int requests = options.getInt("requests", 600);
    new DemoClient(
            options.getString("entry", "127.0.0.1:7100"),
            options.getString("platform", "127.0.0.1:7000"))
        .run(requests, options.getString("api-key-env", "KUMQUATPLANK_API_KEY"));
  }

  private void run(int requests, String apiKeyVariable) throws InterruptedException {
    String apiKey = System.getenv(apiKeyVariable);
    Random random = new Random(1);
    Semaphore permits = new Semaphore(CONCURRENCY);
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < requests; i++) {
        RequestKind kind = pickKind(random);
        int number = i;
        permits.acquire();
        executor.execute(
            () -> {
              try {
                send(kind, number, apiKey);
              } finally {
                permits.release();
              }
            });
      }
      executor.shutdown();
      executor.awaitTermination(2, TimeUnit.MINUTES);
    }
    Processes.sleep(BILL_WRITE_WAIT_MILLIS);
    BillReducer bills = readBills();
    bills.bills().forEach(b -> table.addCost(rowName(b.workClass()), b.costMicros()));
    System.out.print(table.render());
    System.out.printf(
        "%d bills in the log, %d duplicates ignored%n", bills.bills().size(), bills.duplicates());
    System.exit(table.servedCount() > 0 ? 0 : 1);
  }

  /**
   * Returns the table row of a billed work class. All calls to the plain service are billed under
   * its name, so their cost is shown with the stock look-ups.
   */
  private static String rowName(String workClass) {
    return workClass.equals("press") ? "stock" : workClass;
  }

  private BillReducer readBills() {
    BillReducer reducer = BillReducer.create();
    HttpEventLog log = HttpEventLog.create(client, platform, Clock.systemUTC());
    long next = 0;
    LogPage page;
    do {
      page = log.read(BillWriter.STREAM, next, Instant.MIN);
      page.records().forEach(r -> reducer.apply(r.text()));
      next = page.next();
    } while (!page.reachesEnd());
    return reducer;
  }

  private static RequestKind pickKind(Random random) {
    int remainingPercent = random.nextInt(100);
    for (RequestKind kind : REQUEST_MIX) {
      remainingPercent -= kind.percent();
      if (remainingPercent < 0) {
        return kind;
      }
    }
    return REQUEST_MIX.get(0);
  }

  private synchronized String address(int number) {
    if (addresses.isEmpty() || Instant.now().isAfter(addressesExpire)) {
      List<String> candidates = new ArrayList<>(addresses);
      candidates.add(seedAddress);
      for (String candidate : candidates) {
        try {
          FullResponse reply =
              client.exchange(
                  candidate,
                  Request.get("/v1/addresses"),
                  Instant.now().plus(REQUEST_TIMEOUT),
                  Reuse.FRESH);
          Addresses response = GSON.fromJson(reply.body(), Addresses.class);
          addresses = response.addresses();
          addressesExpire = Instant.parse(response.expires_at());
          break;
        } catch (CallException e) {
          // Try the next address.
        }
      }
    }
    return addresses.get(number % addresses.size());
  }

  private void send(RequestKind kind, int number, String apiKey) {
    long start = System.nanoTime();
    try {
      Request request = requestFor(kind, number).withHeader("Authorization", "Bearer " + apiKey);
      FullResponse reply =
          client.exchange(
              address(number), request, Instant.now().plus(REQUEST_TIMEOUT), Reuse.REUSE);
      long micros = (System.nanoTime() - start) / 1_000;
      if (reply.isSuccess()) {
        String version = reply.headers().first("Model-Version").orElse("-");
        table.addServed(kind.workClass(), version, micros, completionTokens(reply));
      } else {
        String code =
            ErrorResponses.parse(reply.body()).map(e -> e.code().wireName()).orElse("other");
        table.addRejected(kind.workClass(), code);
      }
    } catch (CallException e) {
      table.addRejected(kind.workClass(), "no_answer");
    }
  }

  private static Request requestFor(RequestKind kind, int number) {
    return switch (kind.workClass()) {
      case "booking" ->
          Request.post("/v1/services/press/bookings", "{\"shift\":" + number + "}")
              .withHeader("Idempotency-Key", "demo-" + number);
      case "stock" -> Request.get("/v1/services/press/stock/paper-" + number);
      default -> {
        String prompt = kind.prompt() + " no " + number + " tokens=" + kind.tokens();
        yield Request.post(
            "/v1/chat/completions",
            String.format(
                Locale.ROOT,
                "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                kind.workClass(),
                prompt));
      }
    };
  }

  private static long completionTokens(FullResponse reply) {
    JsonObject body = GSON.fromJson(reply.body(), JsonObject.class);
    return body.has("usage")
        ? body.getAsJsonObject("usage").get("completion_tokens").getAsLong()
        : 0;
  }
}
