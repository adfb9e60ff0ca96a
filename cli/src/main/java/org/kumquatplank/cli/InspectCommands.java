package org.kumquatplank.cli;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.kumquatplank.core.admin.InstanceStatus;
import org.kumquatplank.core.admin.InstanceStatus.BackendStatus;
import org.kumquatplank.core.admin.InstanceStatus.EntryStatus;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;

/** The commands that inspect the system, send a request, or drain an instance. */
final class InspectCommands {
  private static final Gson GSON = new Gson();
  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();
  private static final Duration REQUEST_TIMEOUT = Duration.ofMinutes(10);

  private final PrintStream out;

  InspectCommands(PrintStream out) {
    this.out = out;
  }

  /** A message of a chat request. */
  private record Message(String role, String content) {}

  /** The body of a chat request. */
  private record ChatRequest(String model, List<Message> messages) {}

  /** The response with the addresses for callers. */
  private record Addresses(List<String> addresses, String expires_at) {}

  /** A page of log records. */
  private record LogPage(long next, List<LogItem> records) {}

  /** One log record. */
  private record LogItem(long offset, String text) {}

  int status(AdminClient client, boolean json) {
    String body = client.exchange(Request.get("/admin/status")).body();
    if (json) {
      out.println(body);
      return ExitStatus.DONE;
    }
    InstanceStatus status = GSON.fromJson(body, InstanceStatus.class);
    out.printf(
        "instance %s: configuration %d, %s, log %s, %d queued%n",
        status.instance(),
        status.config_version(),
        status.fresh() ? "current" : "STALE",
        status.log_reachable() ? "reachable" : "NOT REACHABLE",
        status.waiting());
    out.printf("%-32s %-22s %-14s %-10s %s%n", "INSTANCE", "ADDRESS", "DOMAIN", "CONFIG", "STATE");
    for (EntryStatus entry : status.entries()) {
      String version =
          entry.config_version() == null ? "unheard" : entry.config_version().toString();
      String state = entry.leaving() || entry.draining() ? "leaving" : "live";
      out.printf(
          "%-32s %-22s %-14s %-10s %s%n",
          entry.instance(), entry.address(), entry.failure_domain(), version, state);
    }
    out.printf("%-32s %-22s %-14s %-10s %s%n", "BACKEND", "SERVES", "DOMAIN", "ROLE", "STATE");
    for (BackendStatus backend : status.backends()) {
      out.printf(
          "%-32s %-22s %-14s %-10s %s%n",
          backend.instance(),
          backend.serves(),
          backend.failure_domain(),
          backend.role().toLowerCase(java.util.Locale.ROOT),
          backend.leaving() ? "leaving" : "live");
    }
    return ExitStatus.DONE;
  }

  /** Prints the timeline of a request from log files; {@code -} is standard input. */
  int explain(List<String> logs, String request) {
    RequestTimeline timeline = RequestTimeline.of(request);
    for (String log : logs) {
      try (BufferedReader lines = open(log)) {
        lines.lines().forEach(timeline::add);
      } catch (IOException e) {
        throw CommandException.usage("can't read " + log + ": " + e.getMessage());
      }
    }
    timeline.format().forEach(out::println);
    if (timeline.unparsableLines() > 0) {
      out.println(timeline.unparsableLines() + " lines contain the request id but can't be parsed");
    }
    if (timeline.format().isEmpty()) {
      out.println(
          "no log line found for request "
              + request
              + "; only a sample of successful requests is logged");
      return ExitStatus.FAILED;
    }
    return ExitStatus.DONE;
  }

  private static BufferedReader open(String log) throws IOException {
    return log.equals("-")
        ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
        : Files.newBufferedReader(Path.of(log));
  }

  int addresses(String entry, String region, boolean json) {
    String query = region.isEmpty() ? "" : "?region=" + region;
    String body = exchange(entry, Request.get("/v1/addresses" + query)).body();
    if (json) {
      out.println(body);
      return ExitStatus.DONE;
    }
    Addresses found = GSON.fromJson(body, Addresses.class);
    found.addresses().forEach(out::println);
    out.println("valid until " + found.expires_at());
    return ExitStatus.DONE;
  }

  int send(String entry, String apiKey, String workClass, String text) {
    String body = GSON.toJson(new ChatRequest(workClass, List.of(new Message("user", text))));
    Request request =
        Request.post("/v1/chat/completions", body).withHeader("Authorization", "Bearer " + apiKey);
    FullResponse reply = exchange(entry, request);
    reply.headers().first("Request-Id").ifPresent(id -> out.println("request " + id));
    reply.headers().first("Model-Version").ifPresent(v -> out.println("version " + v));
    out.println(PRETTY.toJson(JsonParser.parseString(reply.body())));
    return reply.isSuccess() ? ExitStatus.DONE : ExitStatus.FAILED;
  }

  private static FullResponse exchange(String entry, Request request) {
    try {
      return PooledHttpClient.create()
          .exchange(entry, request, Instant.now().plus(REQUEST_TIMEOUT), Reuse.FRESH);
    } catch (CallException e) {
      throw CommandException.failed(e.getMessage());
    }
  }

  int explain(AdminClient client, String request) {
    JsonElement response =
        JsonParser.parseString(
            client.exchange(Request.get("/admin/explain?request=" + request)).body());
    out.println(response.getAsJsonObject().get("decision").getAsString());
    return ExitStatus.DONE;
  }

  int metrics(AdminClient client) {
    out.print(client.exchange(Request.get("/admin/metrics")).body());
    return ExitStatus.DONE;
  }

  int drain(AdminClient client) {
    client.exchange(Request.post("/admin/drain", "{}"));
    out.println("draining; the process exits when its in-flight requests have ended");
    return ExitStatus.DONE;
  }

  int logTail(AdminClient client, String stream, long from) {
    long next = from;
    LogPage page;
    do {
      String target = "/admin/log?stream=" + stream + "&from=" + next;
      page = GSON.fromJson(client.exchange(Request.get(target)).body(), LogPage.class);
      page.records().forEach(r -> out.println(r.offset() + " " + r.text()));
      next = page.next();
    } while (!page.records().isEmpty());
    return ExitStatus.DONE;
  }
}
