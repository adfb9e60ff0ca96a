package rig;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: the log, its keyed topics and conditional appends. */
public final class LogStore implements AutoCloseable {
  private static final int PAGE = 500;

  private volatile ServerSocket listener;
  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private final List<Socket> sockets = new ArrayList<>();

  private LogStore(ServerSocket listener) {
    this.listener = listener;
  }

  public static LogStore open(String host) throws IOException {
    ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName(host));
    LogStore store = new LogStore(listener);
    Thread.ofVirtual().start(() -> store.acceptAll(listener));
    return store;
  }

  /** Leaves its address for another one, with all records; the old one refuses connections. */
  public void listenAt(String host) throws IOException {
    ServerSocket next = new ServerSocket(0, 128, InetAddress.getByName(host));
    close();
    listener = next;
    Thread.ofVirtual().start(() -> acceptAll(next));
  }

  public String address() {
    InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Writes the newest value of a key, as the operator or a replica does. */
  public synchronized void put(String topic, String key, String value) {
    byte[] k = key.getBytes(StandardCharsets.UTF_8);
    byte[] v = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + k.length + v.length);
    record.put((byte) k.length).put(k).put(v);
    topic("keyed." + topic).add(record.array());
    notifyAll();
  }

  /** Removes a key. */
  public void drop(String topic, String key) {
    put(topic, key, "");
  }

  private List<byte[]> topic(String name) {
    return topics.computeIfAbsent(name, n -> new ArrayList<>());
  }

  private void acceptAll(ServerSocket from) {
    try {
      while (true) {
        Socket socket = from.accept();
        synchronized (sockets) {
          sockets.add(socket);
        }
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener is closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      var in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
        out.write(answer(m));
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      // The peer has closed the connection.
    }
  }

  private synchronized byte[] answer(Http.Message m) throws IOException, InterruptedException {
    String target = m.line().split(" ")[1];
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = new HashMap<>();
    for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
      String[] kv = pair.split("=", 2);
      query.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
    }
    return switch (path) {
      case "/log-append" -> append(query, m.body());
      case "/log-read" -> read(query);
      case "/log-newest" -> newest(query);
      default -> response(404, "{}".getBytes(StandardCharsets.UTF_8));
    };
  }

  private static byte[] response(int status, byte[] body) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(
        ("HTTP/1.1 " + status + " S\r\nContent-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    out.write(body);
    return out.toByteArray();
  }

  private byte[] append(Map<String, String> query, byte[] body) throws IOException {
    String name = query.get("topic");
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      return response(403, "{}".getBytes(StandardCharsets.UTF_8));
    }
    List<byte[]> log = topic(name);
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != log.size()) {
      return response(412, ("{\"end\":" + log.size() + "}").getBytes(StandardCharsets.UTF_8));
    }
    int offset = log.size();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      log.add(record);
    }
    notifyAll();
    return response(
        200,
        ("{\"offset\":" + offset + ",\"end\":" + log.size() + "}")
            .getBytes(StandardCharsets.UTF_8));
  }

  private byte[] read(Map<String, String> query) throws IOException, InterruptedException {
    List<byte[]> log = topic(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long until =
        System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    while (from >= log.size() && until - System.nanoTime() > 1_000_000) {
      wait((until - System.nanoTime()) / 1_000_000);
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(log.size());
    out.writeLong(0);
    for (int i = from; i < log.size(); i++) {
      out.writeInt(log.get(i).length);
      out.write(log.get(i));
    }
    return response(200, bytes.toByteArray());
  }

  private byte[] newest(Map<String, String> query) throws IOException {
    List<byte[]> log = topic(query.get("topic"));
    Map<String, Integer> last = new LinkedHashMap<>();
    for (int i = 0; i < log.size(); i++) {
      byte[] r = log.get(i);
      last.put(new String(r, 1, r[0] & 0xff, StandardCharsets.UTF_8), i);
    }
    StringBuilder items = new StringBuilder();
    int count = 0;
    boolean more = false;
    for (Map.Entry<String, Integer> e : new TreeMap<>(last).entrySet()) {
      byte[] r = log.get(e.getValue());
      int start = 1 + (r[0] & 0xff);
      if (e.getKey().compareTo(query.getOrDefault("after", "")) <= 0 || start == r.length) {
        continue;
      }
      if (count++ >= PAGE) {
        more = true;
        break;
      }
      byte[] value = java.util.Arrays.copyOfRange(r, start, r.length);
      items
          .append(items.isEmpty() ? "" : ",")
          .append("{\"key\":\"" + e.getKey() + "\",\"value\":\"")
          .append(Base64.getEncoder().encodeToString(value))
          .append("\",\"offset\":" + e.getValue() + "}");
    }
    String page =
        "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end\":" + log.size() + "}";
    return response(200, page.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() throws IOException {
    listener.close();
    synchronized (sockets) {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }
}
