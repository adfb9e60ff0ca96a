package rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a replica: registers itself in the store, refuses requests meant for another replica,
 * and lets the case answer the others.
 */
public final class Replica implements AutoCloseable {
  private static final long CHECK_IN_MILLIS = 1_200;

  private final LogStore store;
  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final Handler handler;
  private final Record record;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger sequence = new AtomicInteger();
  private final AtomicInteger running = new AtomicInteger();
  private volatile String state = "ready";
  private volatile boolean closed;

  /** Runs a request and writes its answer; returns whether the connection may be used again. */
  public interface Handler {
    boolean run(Replica replica, Http.Message request, OutputStream out)
        throws IOException, InterruptedException;
  }

  private Replica(
      LogStore store,
      String host,
      String id,
      String service,
      String zone,
      int slots,
      Record record,
      Handler handler)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.record = record;
    this.handler = handler;
    this.listener = new ServerSocket(0, 1024, InetAddress.getByName(host));
  }

  public static Replica open(
      LogStore store,
      String host,
      String id,
      String service,
      String zone,
      int slots,
      Record record,
      Handler handler)
      throws IOException {
    Replica replica = new Replica(store, host, id, service, zone, slots, record, handler);
    replica.checkIn();
    Thread.ofVirtual().start(replica::acceptAll);
    Thread.ofVirtual().start(replica::checkInAlways);
    return replica;
  }

  public String id() {
    return id;
  }

  private void checkIn() {
    String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    store.put(
        "servers",
        id,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":%d}"
            .formatted(service, address, zone, slots, state, sequence.incrementAndGet(), born));
  }

  private void checkInAlways() {
    try {
      while (!closed) {
        Thread.sleep(CHECK_IN_MILLIS);
        checkIn();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = listener.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener is closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
        if (m.line().startsWith("GET /health ")) {
          write(out, "HTTP/1.1 200 OK\r\nX-Replica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else if (!m.header("x-target-replica").isEmpty()
            && !m.header("x-target-replica").equals(id)) {
          write(
              out,
              "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Replica-Id: "
                  + id
                  + "\r\nX-Attempt-Id: "
                  + m.header("x-attempt-id")
                  + "\r\nContent-Length: 0\r\n\r\n");
        } else {
          record.line("runs", "replica", id, "id", m.header("x-attempt-id"));
          running.incrementAndGet();
          try {
            if (!handler.run(this, m, out)) {
              return;
            }
          } finally {
            running.decrementAndGet();
          }
        }
      }
    } catch (IOException e) {
      // The peer has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Returns the headers that each answer of a replica has. */
  public String identity(Http.Message request) {
    return "X-Attempt-Id: "
        + request.header("x-attempt-id")
        + "\r\nX-Response-Seal: seal."
        + id
        + "."
        + request.header("x-attempt-id")
        + "\r\n";
  }

  /** Writes a whole answer. */
  public void answer(OutputStream out, Http.Message request, int status, String body)
      throws IOException {
    record.line(
        "ran", "replica", id, "id", request.header("x-attempt-id"), "status", "" + status);
    write(
        out,
        "HTTP/1.1 "
            + status
            + " S\r\n"
            + identity(request)
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  public static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
