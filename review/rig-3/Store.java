import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: keyed topics with one partition each, in memory. */
final class Store implements AutoCloseable {
  private final HttpServer server;
  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private volatile boolean refuses;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    server.createContext("/", this::handle);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.start();
  }

  /** Returns a store at another address that goes on with the records of this one. */
  synchronized Store copy() throws IOException {
    Store copy = new Store();
    topics.forEach((topic, log) -> copy.topics.put(topic, new ArrayList<>(log)));
    return copy;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a record, as the operator or a replica does; returns once it is acknowledged. */
  synchronized void put(String topic, String key, String value) {
    byte[] k = key.getBytes(StandardCharsets.UTF_8);
    byte[] v = value.getBytes(StandardCharsets.UTF_8);
    byte[] record = new byte[1 + k.length + v.length];
    record[0] = (byte) k.length;
    System.arraycopy(k, 0, record, 1, k.length);
    System.arraycopy(v, 0, record, 1 + k.length, v.length);
    log("keyed." + topic).add(record);
    notifyAll();
  }

  /** Answers every call with 503 from now on: nothing is done. */
  synchronized void refuse() {
    refuses = true;
    notifyAll();
  }

  void drop(String topic, String key) {
    put(topic, key, "");
  }

  /** Returns the newest value of a key, or an empty text. */
  synchronized String newest(String topic, String key) {
    byte[] value = newest(log("keyed." + topic)).get(key);
    return value == null ? "" : new String(value, StandardCharsets.UTF_8);
  }

  private List<byte[]> log(String topic) {
    return topics.computeIfAbsent(topic, t -> new ArrayList<>());
  }

  private static Map<String, byte[]> newest(List<byte[]> log) {
    Map<String, byte[]> result = new TreeMap<>();
    for (byte[] record : log) {
      int length = Byte.toUnsignedInt(record[0]);
      String key = new String(record, 1, length, StandardCharsets.UTF_8);
      byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
      result.remove(key);
      if (value.length > 0) {
        result.put(key, value);
      }
    }
    return result;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String pair : raw == null ? new String[0] : raw.split("&")) {
        int eq = pair.indexOf('=');
        query.put(
            pair.substring(0, eq),
            URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
      }
      byte[] body = exchange.getRequestBody().readAllBytes();
      int status = 200;
      byte[] answer;
      String topic = query.getOrDefault("topic", "");
      switch (refuses ? "" : exchange.getRequestURI().getPath()) {
        case "/log-newest" -> answer = listing(topic);
        case "/log-read" -> answer = read(topic, query);
        case "/log-append" -> {
          long offset = append(topic, query, body);
          status = offset < 0 ? 412 : 200;
          answer = ("{\"offset\":" + Math.max(0, offset) + ",\"end\":" + end(topic) + "}").getBytes();
        }
        default -> {
          status = 404;
          answer = "{}".getBytes();
        }
      }
      if (refuses) {
        status = 503;
        answer = "{}".getBytes();
      }
      exchange.sendResponseHeaders(status, answer.length);
      exchange.getResponseBody().write(answer);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized long end(String topic) {
    return log(topic).size();
  }

  private synchronized byte[] listing(String topic) {
    List<byte[]> log = log(topic);
    StringBuilder items = new StringBuilder();
    newest(log)
        .forEach(
            (key, value) -> {
              items.append(items.isEmpty() ? "" : ",").append("{\"key\":\"").append(key);
              items.append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(value));
              items.append("\",\"offset\":").append(offsetOf(log, key)).append('}');
            });
    return ("{\"items\":[" + items + "],\"has_more\":false,\"end\":" + log.size() + "}").getBytes();
  }

  private static int offsetOf(List<byte[]> log, String key) {
    for (int i = log.size() - 1; i >= 0; i--) {
      byte[] r = log.get(i);
      if (new String(r, 1, Byte.toUnsignedInt(r[0]), StandardCharsets.UTF_8).equals(key)) {
        return i;
      }
    }
    return 0;
  }

  private synchronized byte[] read(String topic, Map<String, String> query)
      throws IOException, InterruptedException {
    List<byte[]> log = log(topic);
    int from = Integer.parseInt(query.get("from"));
    long until = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    while (log.size() <= from && !refuses) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(log.size());
    out.writeLong(0);
    for (int i = from; i < log.size(); i++) {
      out.writeInt(log.get(i).length);
      out.write(log.get(i));
    }
    return bytes.toByteArray();
  }

  private synchronized long append(String topic, Map<String, String> query, byte[] body) {
    List<byte[]> log = log(topic);
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != log.size()) {
      return -1;
    }
    long offset = log.size();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      log.add(record);
    }
    notifyAll();
    return offset;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
