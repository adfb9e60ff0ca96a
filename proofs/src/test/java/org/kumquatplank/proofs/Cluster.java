package org.kumquatplank.proofs;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.File;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.kumquatplank.core.bills.BillReducer;
import org.kumquatplank.core.claims.Fingerprint;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.core.config.PlainService;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.config.WorkClass.WhenUnmet;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Request;

/** Real processes on loopback: a platform, two engines, a plain service, and entry instances. */
final class Cluster implements AutoCloseable {
  static final String KEY = "key-of-the-head-office";
  static final String OTHER_KEY = "key-of-a-small-branch";
  private static final String TOKEN = "credential-of-operators";
  private static final Duration WAIT = Duration.ofSeconds(30);

  private final Gson gson = new Gson();
  private final PooledHttpClient client = PooledHttpClient.create();
  private final String network;
  private final List<Member> members = new ArrayList<>();
  final Member platform;
  final List<Member> engines = new ArrayList<>();
  final Member press;
  final List<Member> entries = new ArrayList<>();

  /** One process. */
  record Member(String name, String endpoint, String admin, Process process) {
    void kill() {
      process.destroyForcibly();
      await(process);
    }

    void freeze() {
      signal("STOP");
    }

    void resume() {
      signal("CONT");
    }

    int terminate() {
      process.destroy();
      return await(process);
    }

    private static int await(Process process) {
      try {
        return process.waitFor(60, TimeUnit.SECONDS) ? process.exitValue() : -1;
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    private void signal(String name) {
      try {
        await(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  Cluster(int instances) {
    network = "127." + (20 + ProcessHandle.current().pid() % 200) + ".7.";
    platform = standIn("platform", 1, "PlatformServer", "--appends", "400");
    engines.add(engine("engine-a", 2));
    engines.add(engine("engine-b", 3));
    press =
        standIn(
            "press-1", 4, "PlainServer", "--service", "press", "--domain", "a", "--region", "r");
    for (int i = 0; i < instances; i++) {
      addEntry();
    }
    await("all instances listed", () -> entriesWithVersion(0) == instances);
    await("all servers listed", () -> status(0).getAsJsonArray("backends").size() == 3);
    publish(0, Configuration.empty(), configuration(Stage.LIVE));
    await("configuration everywhere", () -> entriesWithVersion(1) == instances);
  }

  private Member engine(String name, int number) {
    return standIn(
        name,
        number,
        "EngineServer",
        "--versions",
        "small@1=0.8,large@1=0.95",
        "--token-ms",
        "5",
        "--domain",
        "a",
        "--region",
        "r");
  }

  private Member standIn(String name, int number, String program, String... options) {
    List<String> command = new ArrayList<>(java());
    command.add("org.kumquatplank.testkit." + program);
    String endpoint = network + number + ":7000";
    command.addAll(List.of("--listen", endpoint, "--id", name));
    command.addAll(List.of("--platform", network + "1:7000"));
    command.addAll(List.of(options));
    return start(name, endpoint, "", command);
  }

  /** Starts one more entry instance, every other one in another failure domain. */
  Member addEntry() {
    int number = 10 + entries.size();
    String host = network + number;
    List<String> command = new ArrayList<>(java());
    command.add("org.kumquatplank.daemon.Main");
    command.addAll(List.of("--name", "entry-" + number, "--listen", host + ":7100"));
    command.addAll(List.of("--admin-listen", host + ":7200", "--peer-listen", host + ":7300"));
    command.addAll(List.of("--platform", platform.endpoint(), "--region", "r"));
    command.addAll(List.of("--failure-domain", number % 2 == 0 ? "a" : "b"));
    command.addAll(List.of("--address-seconds", "1", "--drain-seconds", "30"));
    Member member = start("entry-" + number, host + ":7100", host + ":7200", command);
    entries.add(member);
    return member;
  }

  private static List<String> java() {
    String java =
        System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
    return List.of(
        java,
        "-Xmx128m",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
  }

  private Member start(String name, String endpoint, String admin, List<String> command) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder
        .environment()
        .putAll(
            Map.of(
                "KUMQUATPLANK_ADMIN_TOKEN",
                TOKEN,
                "KUMQUATPLANK_PEER_SECRET",
                "secret-of-all-instances"));
    File log = new File("target", "process-" + name + ".log");
    builder.redirectErrorStream(true).redirectOutput(log);
    try {
      Member member = new Member(name, endpoint, admin, builder.start());
      members.add(member);
      return member;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a configuration with two versions, three classes, one service and two accounts. */
  static Configuration configuration(Stage largeStage) {
    return Configuration.of(
        0,
        List.of(
            new WorkClass("retelling", 0.9, 5_000, 30_000, 1_000_000, WhenUnmet.BEST),
            new WorkClass("tag", 0.7, 5_000, 30_000, 1_000_000, WhenUnmet.BEST),
            new WorkClass("hurried", 0.7, 50, 30_000, 1_000_000, WhenUnmet.BEST)),
        List.of(
            new ClientAccount(
                "hq",
                Fingerprint.sha256(KEY),
                java.util.Set.of("retelling", "tag", "hurried"),
                java.util.Set.of("*"),
                java.util.Set.of("press")),
            new ClientAccount(
                "branch",
                Fingerprint.sha256(OTHER_KEY),
                java.util.Set.of("tag"),
                java.util.Set.of("small@1"),
                java.util.Set.of())),
        List.of(
            new ModelVersion("small@1", 100_000, 500_000, Stage.LIVE),
            new ModelVersion("large@1", 1_000_000, 9_000_000, largeStage)),
        List.of(new PlainService("press", List.of("POST /bookings"), false, 4_000)));
  }

  WholeReply admin(int entry, Request request) {
    Request signed = request.withHeader("Authorization", "Bearer " + TOKEN);
    return client.exchange(
        entries.get(entry).admin(), signed, Instant.now().plus(WAIT), Reuse.FRESH);
  }

  /** Publishes the difference and returns the answer. */
  WholeReply publish(int entry, Configuration from, Configuration to) {
    String ops = ConfigCodec.opsToJson(ConfigOp.between(from, to));
    String body = "{\"base\":" + from.version() + ",\"author\":\"test\",\"ops\":" + ops + "}";
    return admin(entry, Request.post("/admin/config?wait_ms=10000", body));
  }

  JsonObject status(int entry) {
    WholeReply reply = admin(entry, Request.get("/admin/status"));
    return JsonParser.parseString(reply.body()).getAsJsonObject();
  }

  private int entriesWithVersion(long version) {
    int count = 0;
    for (var entry : status(0).getAsJsonArray("entries")) {
      var heard = entry.getAsJsonObject().get("config_version");
      count += heard != null && heard.getAsLong() == version ? 1 : 0;
    }
    return count;
  }

  void faults(Member member, String json) {
    client.exchange(
        member.endpoint(), Request.post("/faults", json), Instant.now().plus(WAIT), Reuse.FRESH);
  }

  WholeReply ask(int entry, Request request) {
    return client.exchange(
        entries.get(entry).endpoint(), request, Instant.now().plus(WAIT), Reuse.FRESH);
  }

  static Request chat(String workClass, int tokens) {
    String body =
        "{\"model\":\""
            + workClass
            + "\",\"messages\":[{\"role\":\"user\",\"content\":\"tokens="
            + tokens
            + "\"}]}";
    return Request.post("/v1/chat/completions", body).withHeader("Authorization", "Bearer " + KEY);
  }

  static Request booking(String key) {
    return Request.post("/v1/services/press/bookings", "{\"shift\":1}")
        .withHeader("Authorization", "Bearer " + KEY)
        .withHeader("Idempotency-Key", key);
  }

  /** Returns how often a booking ran. */
  long runs(String key) {
    JsonObject stats = get(press, "/stats").getAsJsonObject("runs");
    String full = "hq/press/" + key;
    return stats.has(full) ? stats.get(full).getAsLong() : 0;
  }

  JsonObject get(Member member, String path) {
    WholeReply reply =
        client.exchange(
            member.endpoint(), Request.get(path), Instant.now().plus(WAIT), Reuse.FRESH);
    return JsonParser.parseString(reply.body()).getAsJsonObject();
  }

  /** Returns the requests that the engines have seen. */
  List<Served> served() {
    List<Served> all = new ArrayList<>();
    for (Member engine : engines) {
      for (var item : get(engine, "/stats").getAsJsonArray("served")) {
        all.add(gson.fromJson(item, Served.class));
      }
    }
    return all;
  }

  /** One request as an engine saw it. */
  record Served(String request_id, String version, long at_millis) {}

  /** Returns the bills that count in the log. */
  BillReducer bills() {
    BillReducer reducer = BillReducer.create();
    JsonObject page = get(platform, "/v1/log/bills?from=0&wait_ms=0");
    page.getAsJsonArray("records")
        .forEach(r -> reducer.fold(r.getAsJsonObject().get("text").getAsString()));
    return reducer;
  }

  static void await(String what, BooleanSupplier condition) {
    Instant deadline = Instant.now().plus(WAIT);
    while (Instant.now().isBefore(deadline)) {
      try {
        if (condition.getAsBoolean()) {
          return;
        }
      } catch (CallException | IllegalStateException e) {
        // Not up yet.
      }
      sleep(50);
    }
    throw new AssertionError("not reached in time: " + what);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    members.forEach(Member::resume);
    members.forEach(m -> m.process().destroyForcibly());
    members.forEach(Member::kill);
  }
}
