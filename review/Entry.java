package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An instance of the entry, started with the command of the deploy file. */
final class Entry implements AutoCloseable {
  private static final int START_SECONDS = 20;

  private final Process process;
  private final Path settings;
  private final String front;
  private final String ready;

  private Entry(Process process, Path settings, String front, String ready) {
    this.process = process;
    this.settings = settings;
    this.front = front;
    this.ready = ready;
  }

  /** Starts an instance on a loopback address, and waits until it is ready. */
  static Entry start(Path repository, Path folder, String ip, String store) throws Exception {
    List<Integer> ports = freePorts(ip);
    String front = ip + ":" + ports.get(0);
    String ready = ip + ":" + ports.get(1);
    Path settings = folder.resolve("settings-" + ip + ".json");
    Files.writeString(settings, settings(ip, ports, store));
    Path log = folder.resolve("entry-" + ip + ".log");
    String text = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(text);
    if (!run.find()) {
      throw new IOException("no run command in deploy/system.toml");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    command.set(0, repository.resolve(command.get(0)).toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(repository.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("KUMQUATPLANK_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Entry entry = new Entry(builder.start(), settings, front, ready);
    Runtime.getRuntime().addShutdownHook(new Thread(entry.process::destroyForcibly));
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    while (!entry.isReady()) {
      if (System.nanoTime() > end || !entry.process.isAlive()) {
        entry.close();
        throw new IOException("the entry did not become ready");
      }
      Thread.sleep(100);
    }
    return entry;
  }

  private static List<Integer> freePorts(String ip) throws IOException {
    InetAddress address = InetAddress.getByName(ip);
    List<Integer> ports = new ArrayList<>();
    List<ServerSocket> open = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      ServerSocket socket = new ServerSocket(0, 1, address);
      open.add(socket);
      ports.add(socket.getLocalPort());
    }
    try (DatagramSocket datagrams = new DatagramSocket(0, address)) {
      ports.add(datagrams.getLocalPort());
    }
    for (ServerSocket socket : open) {
      socket.close();
    }
    return ports;
  }

  /** The fields of DEPLOY.md, as the template of the deploy file renders them. */
  private static String settings(String ip, List<Integer> ports, String store) {
    return """
        {"node":"front-seoul-a-1","role":"entry","machine_class":"front",
         "serves":["front","directory","control"],"ip":"%s","zone":"seoul-a","region":"seoul",
         "zones":{"seoul-a":"seoul"},
         "listen_addresses":{"front":"%s:%d","ready":"%s:%d","directory":"%s:%d","control":"%s:%d"},
         "internal_port_range":[%d,%d],"seeds":["%s:%d"],"bootstrap":true,"loss_counts":false,
         "limits":{"cpu_share":0.75,"cores":1,"memory_mb":430,"file_descriptors":4100,
          "link_mbps":1000.0,"disk_mb":0},
         "discovery":"platform","entry":"directory","heartbeat_interval_ms":1200,
         "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants",
          "platform","rollout"],
         "fault_tolerance":{"machines":2,"zones":0,"regions":0},
         "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":4000,
          "acknowledge_ms":5000,"catch_up_s":4,"drain_ms":3000,"grace_s":8,"loss_slack_ms":200,
          "config_propagation_ms":3000,"rollback_slack_ms":250,"outer_bound_ms":6000,
          "strict_revocation":false,"revoke_ms":5000,"retry_budget_ratio":0.9,"budget_window_s":10,
          "retry_budget_slack":52,"exposure_share":0.15,"exposure_slack":30,"rollback_ms":5000,
          "recovery_s":12,"pass_ms":400,"reuse_window_s":9.9,"session_s":5,"ttl_max_s":5},
         "platform":{"address":"%s","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,
          "append_ms":2.0,"partition_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,
          "call_bytes":2097152,"keep_s":300,"partition_mb":200,"ttl_min_ms":1000}}
        """
        .formatted(
            ip, ip, ports.get(0), ip, ports.get(1), ip, ports.get(2), ip, ports.get(3),
            ports.get(5), ports.get(4), ip, ports.get(3), store);
  }

  /** Replaces a text in the settings file, as the platform does when the settings change. */
  void changeSettings(String from, String to) throws IOException {
    String text = Files.readString(settings);
    Path next = settings.resolveSibling("next.json");
    Files.writeString(next, text.replace(from, to));
    Files.move(next, settings, StandardCopyOption.ATOMIC_MOVE);
  }

  String front() {
    return front;
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  boolean isReady() {
    Http.Request request = new Http.Request("GET", "/readiness", "ready", "ready", 1_000, "");
    return Http.call(ready, request, 0).status() == 200;
  }

  /** Sends SIGHUP, which says that the settings have changed. */
  void hangUp() throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
  }

  /** Sends SIGTERM, and SIGKILL after the grace period. */
  void stop(long graceMillis) {
    process.destroy();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                if (!process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
                  process.destroyForcibly();
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }
}
