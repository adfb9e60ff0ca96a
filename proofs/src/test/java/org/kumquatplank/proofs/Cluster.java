package org.kumquatplank.proofs;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.File;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
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
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;

/**
 * Cluster of real processes on loopback addresses: a platform, two engines, a plain service named
 * {@code press}, and instances of the router. The constructor returns when all instances have
 * loaded the first configuration.
 */
final class Cluster implements AutoCloseable {
  static final String HEAD_OFFICE_KEY = "key-of-the-head-office";
  static final String BRANCH_KEY = "key-of-a-small-branch";
  private static final String ADMIN_TOKEN = "credential-of-operators";
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final Gson gson = new Gson();
  private final PooledHttpClient client = PooledHttpClient.create();
  private final String networkPrefix;
  private final List<ManagedProcess> processes = new ArrayList<>();
  final ManagedProcess platform;
  final List<ManagedProcess> engines = new ArrayList<>();
  final ManagedProcess plainService;
  final List<ManagedProcess> instances = new ArrayList<>();
  private int nextInstanceNumber = 10;

  Cluster(int instanceCount) {
    networkPrefix = "127." + (20 + ProcessHandle.current().pid() % 200) + ".7.";
    platform = startStandIn("platform", 1, "PlatformServer", "--appends", "400");
    engines.add(startEngine("engine-a", 2));
    engines.add(startEngine("engine-b", 3));
    plainService =
        startStandIn(
            "press-1", 4, "PlainServer", "--service", "press", "--domain", "a", "--region", "r");
    for (int i = 0; i < instanceCount; i++) {
      instances.add(startInstance(i));
    }
    await("all instances listed", () -> countInstancesAtVersion(0) == instanceCount);
    await("all backend servers listed", () -> status(0).getAsJsonArray("backends").size() == 3);
    publish(0, Configuration.empty(), configuration(Stage.LIVE));
    await("configuration at all instances", () -> countInstancesAtVersion(1) == instanceCount);
  }

  private ManagedProcess startEngine(String name, int hostNumber) {
    return startStandIn(
        name,
        hostNumber,
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

  private ManagedProcess startStandIn(
      String name, int hostNumber, String className, String... options) {
    List<String> command = new ArrayList<>(javaCommand());
    command.add("org.kumquatplank.testkit." + className);
    String endpoint = networkPrefix + hostNumber + ":7000";
    command.addAll(List.of("--listen", endpoint, "--id", name));
    command.addAll(List.of("--platform", networkPrefix + "1:7000"));
    command.addAll(List.of(options));
    return start(name, endpoint, "", command);
  }

  private ManagedProcess startInstance(int index) {
    int number = nextInstanceNumber++;
    String host = networkPrefix + number;
    List<String> command = new ArrayList<>(javaCommand());
    command.add("org.kumquatplank.daemon.Main");
    command.addAll(List.of("--name", "entry-" + number, "--listen", host + ":7100"));
    command.addAll(List.of("--admin-listen", host + ":7200", "--peer-listen", host + ":7300"));
    command.addAll(List.of("--platform", platform.endpoint(), "--region", "r"));
    command.addAll(List.of("--failure-domain", index % 2 == 0 ? "a" : "b"));
    command.addAll(List.of("--address-seconds", "1", "--drain-seconds", "30"));
    return start("entry-" + number, host + ":7100", host + ":7200", command);
  }

  /** Kills the instance and starts an empty one in its failure domain. */
  void replaceInstance(int instance) {
    instances.get(instance).kill();
    instances.set(instance, startInstance(instance));
  }

  /** Kills the engine and starts it anew, which is the only way to undo that it is leaving. */
  void replaceEngine(int engine) {
    engines.get(engine).kill();
    engines.set(engine, startEngine(engines.get(engine).name(), 2 + engine));
  }

  /**
   * Returns to the state after construction, except for ratings: no faults, no frozen or ended
   * instance, the first configuration in force, and every instance in touch with all processes.
   */
  void restore() {
    await("faults cleared", this::clearFaults);
    for (int i = 0; i < instances.size(); i++) {
      if (instances.get(i).process().isAlive()) {
        instances.get(i).resume();
      } else {
        replaceInstance(i);
      }
    }
    await("all instances in touch", this::isInTouch);
    await(
        "first configuration in force",
        () ->
            publish(0, currentConfiguration(Stage.WITHDRAWN), configuration(Stage.LIVE)).status()
                == 200);
    await("all instances at the same version", this::isInTouch);
  }

  private boolean clearFaults() {
    engines.forEach(engine -> setFaults(engine, "{}"));
    setFaults(platform, "{}");
    return true;
  }

  private boolean isInTouch() {
    for (int i = 0; i < instances.size(); i++) {
      JsonObject status = status(i);
      JsonArray entries = status.getAsJsonArray("entries");
      JsonArray backends = status.getAsJsonArray("backends");
      long version = status.get("config_version").getAsLong();
      boolean inTouch =
          status.get("fresh").getAsBoolean()
              && entries.size() == instances.size()
              && backends.size() == 3
              && allMatch(entries, e -> versionOf(e) == version)
              && allMatch(backends, b -> !b.get("leaving").getAsBoolean());
      if (!inTouch) {
        return false;
      }
    }
    return true;
  }

  private static boolean allMatch(JsonArray items, Predicate<JsonObject> condition) {
    return items.asList().stream().map(JsonElement::getAsJsonObject).allMatch(condition);
  }

  /** Returns the version that a listed instance confirmed, or -1 if none is known. */
  private static long versionOf(JsonObject entry) {
    return entry.has("config_version") ? entry.get("config_version").getAsLong() : -1;
  }

  private static List<String> javaCommand() {
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

  private ManagedProcess start(String name, String endpoint, String admin, List<String> command) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder
        .environment()
        .putAll(
            Map.of(
                "KUMQUATPLANK_ADMIN_TOKEN",
                ADMIN_TOKEN,
                "KUMQUATPLANK_PEER_SECRET",
                "secret-of-all-instances"));
    File log = new File("target", "process-" + name + ".log");
    builder.redirectErrorStream(true).redirectOutput(log);
    try {
      ManagedProcess process = new ManagedProcess(name, endpoint, admin, builder.start());
      processes.add(process);
      return process;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns a configuration with two model versions, three work classes, one plain service and two
   * client accounts.
   */
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
                Fingerprint.sha256(HEAD_OFFICE_KEY),
                java.util.Set.of("retelling", "tag", "hurried"),
                java.util.Set.of("*"),
                java.util.Set.of("press")),
            new ClientAccount(
                "branch",
                Fingerprint.sha256(BRANCH_KEY),
                java.util.Set.of("tag"),
                java.util.Set.of("small@1"),
                java.util.Set.of())),
        List.of(
            new ModelVersion("small@1", 100_000, 500_000, Stage.LIVE),
            new ModelVersion("large@1", 1_000_000, 9_000_000, largeStage)),
        List.of(new PlainService("press", List.of("POST /bookings"), false, 4_000)));
  }

  /** Returns {@link #configuration} with the version in force at the first instance. */
  Configuration currentConfiguration(Stage largeStage) {
    return configuration(largeStage).withVersion(status(0).get("config_version").getAsLong());
  }

  FullResponse admin(int instance, Request request) {
    Request authenticated = request.withHeader("Authorization", "Bearer " + ADMIN_TOKEN);
    return client.exchange(
        instances.get(instance).admin(), authenticated, Instant.now().plus(TIMEOUT), Reuse.FRESH);
  }

  /**
   * Publishes the difference between two configurations through an instance and returns the
   * response.
   */
  FullResponse publish(int instance, Configuration from, Configuration to) {
    String ops = ConfigCodec.opsToJson(ConfigOp.diff(from, to));
    String body = "{\"base\":" + from.version() + ",\"author\":\"test\",\"ops\":" + ops + "}";
    return admin(instance, Request.post("/admin/config?wait_ms=10000", body));
  }

  JsonObject status(int instance) {
    FullResponse reply = admin(instance, Request.get("/admin/status"));
    return JsonParser.parseString(reply.body()).getAsJsonObject();
  }

  private int countInstancesAtVersion(long version) {
    int count = 0;
    for (var entry : status(0).getAsJsonArray("entries")) {
      count += versionOf(entry.getAsJsonObject()) == version ? 1 : 0;
    }
    return count;
  }

  void setFaults(ManagedProcess process, String json) {
    client.exchange(
        process.endpoint(),
        Request.post("/faults", json),
        Instant.now().plus(TIMEOUT),
        Reuse.FRESH);
  }

  FullResponse send(int instance, Request request) {
    return client.exchange(
        instances.get(instance).endpoint(), request, Instant.now().plus(TIMEOUT), Reuse.FRESH);
  }

  static Request chatRequest(String workClass, int tokens) {
    String body =
        "{\"model\":\""
            + workClass
            + "\",\"messages\":[{\"role\":\"user\",\"content\":\"tokens="
            + tokens
            + "\"}]}";
    return Request.post("/v1/chat/completions", body)
        .withHeader("Authorization", "Bearer " + HEAD_OFFICE_KEY);
  }

  static Request bookingRequest(String key) {
    return Request.post("/v1/services/press/bookings", "{\"shift\":1}")
        .withHeader("Authorization", "Bearer " + HEAD_OFFICE_KEY)
        .withHeader("Idempotency-Key", key);
  }

  /** Returns how often the plain service has executed a booking. */
  long bookingRuns(String key) {
    JsonObject stats = get(plainService, "/stats").getAsJsonObject("runs");
    String fullKey = "hq/press/" + key;
    return stats.has(fullKey) ? stats.get(fullKey).getAsLong() : 0;
  }

  JsonObject get(ManagedProcess process, String path) {
    FullResponse reply =
        client.exchange(
            process.endpoint(), Request.get(path), Instant.now().plus(TIMEOUT), Reuse.FRESH);
    return JsonParser.parseString(reply.body()).getAsJsonObject();
  }

  /** Returns the completion requests that the engines accepted. */
  List<ServedRequest> servedRequests() {
    List<ServedRequest> all = new ArrayList<>();
    for (ManagedProcess engine : engines) {
      for (var item : get(engine, "/stats").getAsJsonArray("served")) {
        all.add(gson.fromJson(item, ServedRequest.class));
      }
    }
    return all;
  }

  /** A completion request that an engine accepted. */
  record ServedRequest(String request_id, String version, long at_millis) {}

  /** Reads the bills in the log, without duplicates. */
  BillReducer readBills() {
    BillReducer reducer = BillReducer.create();
    JsonObject page = get(platform, "/v1/log/bills?from=0&wait_ms=0");
    page.getAsJsonArray("records")
        .forEach(r -> reducer.apply(r.getAsJsonObject().get("text").getAsString()));
    return reducer;
  }

  static void await(String description, BooleanSupplier condition) {
    Instant deadline = Instant.now().plus(TIMEOUT);
    while (Instant.now().isBefore(deadline)) {
      try {
        if (condition.getAsBoolean()) {
          return;
        }
      } catch (CallException | IllegalStateException e) {
        // A process is not listening yet.
      }
      sleep(50);
    }
    throw new AssertionError("condition not met within 30 s: " + description);
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
    processes.forEach(ManagedProcess::resume);
    processes.forEach(p -> p.process().destroyForcibly());
    processes.forEach(ManagedProcess::kill);
  }
}
