package org.kumquatplank.testkit.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
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
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store, which consists of the keyed topics of its log.
 *
 * <p>Thread-safe. Faults are injected by {@link #setFault}; {@link #forgetHistory} makes reads from
 * old offsets fail, and {@link #restore} brings the store back from an older copy. The store names
 * its era from the first call of {@link #setEra} or {@link #restore} on.
 */
public final class FakeStore implements AutoCloseable {
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int CONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;
  private static final int KEY_LENGTH_BYTES = 1;
  private static final String ERA_HEADER = "Store-Era";

  private final HttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();
  private Fault fault = Fault.NONE;
  private int failedListings;
  private long era;

  private FakeStore(HttpServer server) {
    this.server = server;
  }

  /** A fault that the store injects. */
  public enum Fault {
    /** No fault. */
    NONE,
    /** Every call fails with status 503. */
    DOWN,
    /** Listings fail with status 503; other calls are answered. */
    LISTINGS_FAIL,
    /** Calls take effect, but their responses are dropped. */
    ANSWERS_LOST
  }

  /** The records of a keyed topic, and the first offset that can be read. */
  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private int firstOffset;
  }

  /** Ends of all topics at a moment, to which {@link #restore} cuts them. */
  public static final class Copy {
    private final Map<String, Integer> ends;

    private Copy(Map<String, Integer> ends) {
      this.ends = Map.copyOf(ends);
    }
  }

  /** Opens a store on a free port. */
  public static FakeStore open(String host) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, 0), 0);
    FakeStore store = new FakeStore(server);
    server.createContext("/", store::handle);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.start();
    return store;
  }

  /** Returns the listening address. */
  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** Sets the fault that applies from now on. */
  public synchronized void setFault(Fault newFault) {
    fault = newFault;
    notifyAll();
  }

  /** Appends a record for a key, as the operator or a backend server does. */
  public synchronized void put(String topic, String key, String value) {
    append(topic, encodeRecord(key, value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Deletes a key by appending an empty record. */
  public synchronized void drop(String topic, String key) {
    append(topic, encodeRecord(key, new byte[0]));
  }

  /** Returns the offset of the next record of a topic. */
  public synchronized long end(String topic) {
    return topic(topic).records.size();
  }

  /** Returns the newest value of a key, or an empty string if there is none. */
  public synchronized String newest(String topic, String key) {
    byte[] value = newestByKey(topic(topic)).get(key);
    return value == null ? "" : new String(value, StandardCharsets.UTF_8);
  }

  /** Returns the number of listings that failed by {@link Fault#LISTINGS_FAIL}. */
  public synchronized int failedListings() {
    return failedListings;
  }

  /** Makes reads from all present offsets fail; the newest record of each key stays available. */
  public synchronized void forgetHistory(String topic) {
    topic(topic).firstOffset = topic(topic).records.size();
  }

  /** Sets the era that all responses name from now on. */
  public synchronized void setEra(long newEra) {
    era = newEra;
    notifyAll();
  }

  /** Returns a copy of the present state for {@link #restore}. */
  public synchronized Copy copy() {
    Map<String, Integer> ends = new HashMap<>();
    topics.forEach((name, topic) -> ends.put(name, topic.records.size()));
    return new Copy(ends);
  }

  /**
   * Returns to an earlier state and begins a new era: later records are gone, and their offsets are
   * assigned again.
   *
   * @return the records of each topic that are gone, oldest first
   */
  public synchronized Map<String, List<byte[]>> restore(Copy copy) {
    Map<String, List<byte[]>> lost = new HashMap<>();
    topics.forEach(
        (name, topic) -> {
          int end = copy.ends.getOrDefault(name, 0);
          List<byte[]> tail = topic.records.subList(end, topic.records.size());
          lost.put(name, List.copyOf(tail));
          tail.clear();
          topic.firstOffset = Math.min(topic.firstOffset, end);
        });
    setEra(era + 1);
    return lost;
  }

  /** Appends records again that {@link #restore} returned, as their writers do. */
  public synchronized void rewrite(String topic, Map<String, List<byte[]>> lost) {
    lost.getOrDefault(topic, List.of()).forEach(record -> append(topic, record));
  }

  private static byte[] encodeRecord(String key, byte[] value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(KEY_LENGTH_BYTES + keyBytes.length + value.length)
        .put((byte) keyBytes.length)
        .put(keyBytes)
        .put(value)
        .array();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, n -> new Topic());
  }

  private long append(String topic, byte[] record) {
    Topic log = topic(topic);
    log.records.add(record);
    notifyAll();
    return log.records.size() - 1L;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      Map<String, String> query = parseQuery(exchange.getRequestURI().getRawQuery());
      byte[] body = exchange.getRequestBody().readAllBytes();
      Response response = respond(exchange.getRequestURI().getPath(), query, body);
      if (response.lost()) {
        return;
      }
      if (response.era() > 0) {
        exchange.getResponseHeaders().set(ERA_HEADER, Long.toString(response.era()));
      }
      exchange.sendResponseHeaders(response.status(), response.body().remaining());
      byte[] bytes = new byte[response.body().remaining()];
      response.body().get(bytes);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A response of an era, which is dropped if {@code lost} is set. */
  private record Response(int status, ByteBuffer body, long era, boolean lost) {
    static Response of(int status, String json) {
      return new Response(status, ByteBuffer.wrap(json.getBytes(StandardCharsets.UTF_8)), 0, false);
    }

    Response inEra(long newEra, boolean isLost) {
      return new Response(status, body, newEra, isLost);
    }
  }

  private static Map<String, String> parseQuery(String raw) {
    Map<String, String> result = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&", -1)) {
      int separator = pair.indexOf('=');
      result.put(
          pair.substring(0, separator),
          URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
    }
    return result;
  }

  private synchronized Response respond(String path, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    Response response = respondWithoutEra(path, query, body);
    return response.inEra(era, fault == Fault.ANSWERS_LOST);
  }

  private Response respondWithoutEra(String path, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    if (fault == Fault.DOWN) {
      return Response.of(UNAVAILABLE, "{}");
    }
    if (fault == Fault.LISTINGS_FAIL && path.equals("/log-newest")) {
      failedListings++;
      return Response.of(UNAVAILABLE, "{}");
    }
    String topic = query.get("topic").substring("keyed.".length());
    return switch (path) {
      case "/log-append" -> appendAll(topic, query, body);
      case "/log-read" -> read(topic, query);
      case "/log-newest" -> newestPage(topic);
      default -> Response.of(404, "{}");
    };
  }

  private Response appendAll(String topic, Map<String, String> query, byte[] body) {
    Topic log = topic(topic);
    boolean conditional = query.containsKey("at");
    if (conditional && Long.parseLong(query.get("at")) != log.records.size()) {
      return Response.of(CONDITION_FAILED, "{\"end\":" + log.records.size() + "}");
    }
    int offset = log.records.size();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      append(topic, record);
    }
    return Response.of(OK, "{\"offset\":" + offset + ",\"end\":" + log.records.size() + "}");
  }

  /** Returns whether a store that names its era doesn't have an offset. */
  private boolean isLost(Topic log, int offset) {
    return era > 0 && offset > log.records.size();
  }

  private Response read(String topic, Map<String, String> query)
      throws IOException, InterruptedException {
    Topic log = topic(topic);
    int from = Integer.parseInt(query.get("from"));
    long begunIn = era;
    long endMillis =
        System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long remainingMillis = endMillis - System.nanoTime() / 1_000_000;
    while (from >= log.records.size()
        && !isLost(log, from)
        && remainingMillis > 0
        && fault == Fault.NONE
        && era == begunIn) {
      wait(remainingMillis);
      remainingMillis = endMillis - System.nanoTime() / 1_000_000;
    }
    if (era != begunIn) {
      return Response.of(UNAVAILABLE, "{}");
    }
    if (from < log.firstOffset || isLost(log, from)) {
      return Response.of(GONE, "{\"first\":" + log.firstOffset + "}");
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(log.records.size());
    out.writeLong(log.firstOffset);
    for (int i = from; i < log.records.size(); i++) {
      out.writeInt(log.records.get(i).length);
      out.write(log.records.get(i));
    }
    return new Response(OK, ByteBuffer.wrap(bytes.toByteArray()), 0, false);
  }

  private static Map<String, byte[]> newestByKey(Topic log) {
    Map<String, byte[]> newest = new LinkedHashMap<>();
    for (byte[] record : log.records) {
      String key = new String(record, KEY_LENGTH_BYTES, record[0], StandardCharsets.UTF_8);
      int start = KEY_LENGTH_BYTES + record[0];
      byte[] value = new byte[record.length - start];
      System.arraycopy(record, start, value, 0, value.length);
      newest.put(key, value);
    }
    newest.values().removeIf(value -> value.length == 0);
    return newest;
  }

  private Response newestPage(String topic) {
    Topic log = topic(topic);
    JsonArray items = new JsonArray();
    newestByKey(log)
        .forEach(
            (key, value) -> {
              JsonObject item = new JsonObject();
              item.addProperty("key", key);
              item.addProperty("value", Base64.getEncoder().encodeToString(value));
              item.addProperty("offset", log.records.size() - 1);
              items.add(item);
            });
    JsonObject page = new JsonObject();
    page.add("items", items);
    page.addProperty("has_more", false);
    page.addProperty("end", log.records.size());
    return Response.of(OK, page.toString());
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
