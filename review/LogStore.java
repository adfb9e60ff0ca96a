package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: the keyed topics of its log, with one partition each. */
final class LogStore implements AutoCloseable {
  private HttpServer server;
  private final Map<String, List<byte[]>> topics = new HashMap<>();

  private LogStore() {}

  static LogStore open() throws IOException {
    LogStore store = new LogStore();
    store.listen();
    return store;
  }

  private void listen() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext("/", this::handle);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.start();
  }

  /** Moves to another address, with all records; nothing listens on the address before. */
  void move() throws IOException {
    HttpServer before = server;
    listen();
    before.stop(0);
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes the newest record of a key, as the operator or a replica does. */
  synchronized void put(String topic, String key, String value) {
    byte[] k = key.getBytes(StandardCharsets.UTF_8);
    byte[] v = value.getBytes(StandardCharsets.UTF_8);
    append(
        "keyed." + topic,
        ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array());
  }

  /** Returns the newest value of a key, or an empty text. */
  synchronized String newestValue(String topic, String key) {
    String value = "";
    for (byte[] r : topic("keyed." + topic)) {
      int start = 1 + r[0];
      if (new String(r, 1, r[0], StandardCharsets.UTF_8).equals(key)) {
        value = new String(r, start, r.length - start, StandardCharsets.UTF_8);
      }
    }
    return value;
  }

  private List<byte[]> topic(String name) {
    return topics.computeIfAbsent(name, n -> new ArrayList<>());
  }

  private void append(String topic, byte[] record) {
    topic(topic).add(record);
    notifyAll();
  }

  private record Response(int status, byte[] body) {}

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String pair : raw == null ? new String[0] : raw.split("&")) {
        int at = pair.indexOf('=');
        String value = URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8);
        query.put(pair.substring(0, at), value);
      }
      byte[] body = exchange.getRequestBody().readAllBytes();
      Response response = respond(exchange.getRequestURI().getPath(), query, body);
      exchange.sendResponseHeaders(
          response.status, response.body.length == 0 ? -1 : response.body.length);
      exchange.getResponseBody().write(response.body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Response respond(String path, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    String name = query.getOrDefault("topic", "");
    return switch (path) {
      case "/log-append" -> appendAll(name, query, body);
      case "/log-read" -> read(name, query);
      case "/log-newest" -> newest(name);
      default -> json(404, "{}");
    };
  }

  private static Response json(int status, String text) {
    return new Response(status, text.getBytes(StandardCharsets.UTF_8));
  }

  private Response appendAll(String name, Map<String, String> query, byte[] body) {
    List<byte[]> log = topic(name);
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      return json(403, "{}");
    }
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != log.size()) {
      return json(412, "{\"end\":" + log.size() + "}");
    }
    int offset = log.size();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      append(name, record);
    }
    return json(200, "{\"offset\":" + offset + ",\"end\":" + log.size() + "}");
  }

  private Response read(String name, Map<String, String> query)
      throws IOException, InterruptedException {
    List<byte[]> log = topic(name);
    int from = Integer.parseInt(query.get("from"));
    long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long left = end - System.currentTimeMillis();
    while (from >= log.size() && left > 0) {
      wait(left);
      left = end - System.currentTimeMillis();
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(log.size());
    out.writeLong(0);
    for (int i = from; i < log.size(); i++) {
      out.writeInt(log.get(i).length);
      out.write(log.get(i));
    }
    return new Response(200, bytes.toByteArray());
  }

  private Response newest(String name) {
    List<byte[]> log = topic(name);
    Map<String, String> items = new TreeMap<>();
    for (int i = 0; i < log.size(); i++) {
      byte[] r = log.get(i);
      int start = 1 + r[0];
      String key = new String(r, 1, r[0], StandardCharsets.UTF_8);
      String value = Base64.getEncoder().encodeToString(Arrays.copyOfRange(r, start, r.length));
      String item = "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}".formatted(key, value, i);
      items.put(key, item);
      if (start == r.length) {
        items.remove(key);
      }
    }
    return json(
        200,
        "{\"items\":["
            + String.join(",", items.values())
            + "],\"has_more\":false,\"end\":"
            + log.size()
            + "}");
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
