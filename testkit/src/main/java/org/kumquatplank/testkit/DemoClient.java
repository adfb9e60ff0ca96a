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
import org.kumquatplank.http.ErrorReplies;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Request;
import org.kumquatplank.platform.PlatformLog;

/** Sends the demonstration's mix of work and prints a table per class. */
public final class DemoClient {
  private static final Gson GSON = new Gson();
  private static final Duration WAIT = Duration.ofSeconds(40);
  private static final long BILL_WAIT_MILLIS = 800;
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

  /** The addresses to use. */
  private record Addresses(List<String> addresses, String expires_at) {}

  /** One kind of work in the mix. */
  private record Kind(String workClass, int percent, int tokens, String prompt) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind("retelling", 10, 300, "retell this dream at length"),
          new Kind("title", 25, 8, "a chapter title"),
          new Kind("tag", 35, 3, "one mood word"),
          new Kind("booking", 10, 0, ""),
          new Kind("stock", 20, 0, ""));

  /** Runs the demonstration. */
  public static void main(String[] args) throws InterruptedException {
    Options options = new Options(args);
    int requests = options.number("requests", 600);
    new DemoClient(
            options.text("entry", "127.0.0.1:7100"), options.text("platform", "127.0.0.1:7000"))
        .run(requests, options.text("api-key-env", "KUMQUATPLANK_API_KEY"));
  }

  private void run(int requests, String keyVariable) throws InterruptedException {
    String apiKey = System.getenv(keyVariable);
    Random random = new Random(1);
    Semaphore permits = new Semaphore(CONCURRENCY);
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < requests; i++) {
        Kind kind = draw(random);
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
    Processes.sleep(BILL_WAIT_MILLIS);
    BillReducer bills = readBills();
    bills.bills().forEach(b -> table.billed(tableName(b.workClass()), b.costMicros()));
    System.out.print(table.render());
    System.out.printf(
        "%d bills in the log, %d repeats left out%n", bills.bills().size(), bills.repeats());
    System.exit(table.served() > 0 ? 0 : 1);
  }

  /** Both kinds of calls to the plain service stand on its bills under its name. */
  private static String tableName(String workClass) {
    return workClass.equals("press") ? "stock" : workClass;
  }

  private BillReducer readBills() {
    BillReducer reducer = BillReducer.create();
    PlatformLog log = PlatformLog.create(client, platform, Clock.systemUTC());
    long next = 0;
    LogPage page;
    do {
      page = log.read(BillWriter.STREAM, next, Instant.MIN);
      page.records().forEach(r -> reducer.fold(r.text()));
      next = page.next();
    } while (!page.reachesEnd());
    return reducer;
  }

  private static Kind draw(Random random) {
    int point = random.nextInt(100);
    for (Kind kind : KINDS) {
      point -= kind.percent();
      if (point < 0) {
        return kind;
      }
    }
    return KINDS.get(0);
  }

  private synchronized String address(int number) {
    if (addresses.isEmpty() || Instant.now().isAfter(addressesExpire)) {
      List<String> sources = new ArrayList<>(addresses);
      sources.add(seedAddress);
      for (String source : sources) {
        try {
          WholeReply reply =
              client.exchange(
                  source, Request.get("/v1/addresses"), Instant.now().plus(WAIT), Reuse.FRESH);
          Addresses found = GSON.fromJson(reply.body(), Addresses.class);
          addresses = found.addresses();
          addressesExpire = Instant.parse(found.expires_at());
          break;
        } catch (CallException e) {
          // The next address may answer.
        }
      }
    }
    return addresses.get(number % addresses.size());
  }

  private void send(Kind kind, int number, String apiKey) {
    long start = System.nanoTime();
    try {
      Request request = requestFor(kind, number).withHeader("Authorization", "Bearer " + apiKey);
      WholeReply reply =
          client.exchange(address(number), request, Instant.now().plus(WAIT), Reuse.REUSE);
      long micros = (System.nanoTime() - start) / 1_000;
      if (reply.isSuccess()) {
        String version = reply.headers().first("Model-Version").orElse("-");
        table.served(kind.workClass(), version, micros, tokensOf(reply));
      } else {
        String code =
            ErrorReplies.parse(reply.body()).map(e -> e.code().wireName()).orElse("other");
        table.refused(kind.workClass(), code);
      }
    } catch (CallException e) {
      table.refused(kind.workClass(), "no_answer");
    }
  }

  private static Request requestFor(Kind kind, int number) {
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

  private static long tokensOf(WholeReply reply) {
    JsonObject body = GSON.fromJson(reply.body(), JsonObject.class);
    return body.has("usage")
        ? body.getAsJsonObject("usage").get("completion_tokens").getAsLong()
        : 0;
  }
}
