package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An instance, started with the run line of the deploy file. */
public final class EntryProcess implements AutoCloseable {
  private final Path settings;
  private final Path log;
  private final String ip;
  private final int port;
  private volatile Process process;

  private EntryProcess(Path settings, Path log, String ip, int port) {
    this.settings = settings;
    this.log = log;
    this.ip = ip;
    this.port = port;
  }

  /** Starts the process, also again after it has ended, as the platform does. */
  public void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(runLine());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("KUMQUATPLANK_NODE_FILE", settings.toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  /** Returns the first of 20 ports that are free on all of the addresses. */
  public static int freePorts(List<String> ips) throws IOException {
    for (int first = 21_000 + (int) (ProcessHandle.current().pid() * 40 % 8_000); ; first += 20) {
      if (areFree(ips, first)) {
        return first;
      }
    }
  }

  private static boolean areFree(List<String> ips, int first) {
    for (String ip : ips) {
      for (int port = first; port < first + 20; port++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }

  /**
   * Starts an instance.
   *
   * @param first first of the ports; the caller's, readiness and directory ports follow the 16 of
   *     the range between instances
   */
  public static EntryProcess start(
      Path folder,
      String node,
      String ip,
      String zone,
      Map<String, String> zones,
      List<String> seeds,
      int first,
      LogStore store,
      int memoryMegabytes,
      int descriptors)
      throws IOException {
    StringBuilder zoneFields = new StringBuilder();
    zones.forEach(
        (z, r) ->
            zoneFields.append(zoneFields.isEmpty() ? "" : ",").append("\"" + z + "\":\"" + r + "\""));
    StringBuilder seedFields = new StringBuilder();
    seeds.forEach(
        s -> seedFields.append(seedFields.isEmpty() ? "" : ",").append("\"" + s + ":" + (first + 19) + "\""));
    String settings =
        """
        {"node":"%s","role":"entry","machine_class":"front","serves":["front","directory","control"],
         "ip":"%s","zone":"%s","region":"%s","zones":{%s},
         "listen_addresses":{"front":"%s:%d","ready":"%s:%d","directory":"%s:%d","control":"%s:%d"},
         "internal_port_range":[%d,%d],"seeds":[%s],"bootstrap":true,
         "limits":{"cpu_share":0.75,"cores":1,"memory_mb":%d,"file_descriptors":%d,"link_mbps":1000.0,"disk_mb":0},
         "discovery":"platform","entry":"directory","heartbeat_interval_ms":1200,
         "bounds":{"drain_ms":3000,"grace_s":8,"config_propagation_ms":3000,"retry_budget_ratio":0.9,
          "budget_window_s":10,"retry_budget_slack":52,"ttl_max_s":5},
         "platform":{"address":"%s","form":"log"}}
        """
            .formatted(
                node, ip, zone, zones.get(zone), zoneFields, ip, first + 16, ip, first + 17, ip,
                first + 18, ip, first + 19, first, first + 15, seedFields, memoryMegabytes,
                descriptors, store.address());
    Path file = folder.resolve(node + ".json");
    Files.writeString(file, settings);
    Path log = folder.resolve(node + ".log");
    EntryProcess entry = new EntryProcess(file, log, ip, first + 16);
    entry.start();
    return entry;
  }

  private static List<String> runLine() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(List.of(words.split(" ")));
      }
    }
    throw new IOException("no run line in the deploy file");
  }

  public String ip() {
    return ip;
  }

  /** Returns the port for callers. */
  public int port() {
    return port;
  }

  public Path log() {
    return log;
  }

  public Process process() {
    return process;
  }

  /** Returns the status of the readiness call, or 0 without an answer within a second. */
  public int readiness() {
    return statusOf(port + 1, "/readiness");
  }

  /** Returns the answer of the directory, or nothing but the reason. */
  public String resolve(String zone, String region) {
    try {
      return get(port + 2, "/resolve?name=h.example&region=" + region + "&zone=" + zone).text();
    } catch (IOException e) {
      return e.toString();
    }
  }

  private int statusOf(int toPort, String path) {
    try {
      return get(toPort, path).status();
    } catch (IOException e) {
      return 0;
    }
  }

  private Http.Message get(int toPort, String path) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, toPort), 1_000);
      socket.setSoTimeout(1_000);
      Replica.write(
          socket.getOutputStream(), "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
      if (answer == null) {
        throw new IOException("closed without an answer");
      }
      return answer;
    }
  }

  /** Waits until the instance is ready; returns whether it is. */
  public boolean awaitReady(long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      if (readiness() == 200) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Returns the resident memory of the process, megabytes, or -1 if it has ended. */
  public long residentMegabytes() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
        }
      }
    } catch (IOException e) {
      // It has ended.
    }
    return -1;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
