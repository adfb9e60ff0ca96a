package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/**
 * Stand-in for a sound replica. It runs one request at a time on a channel, drops a request whose
 * channel closes, and checks in at the store.
 */
final class Replica implements AutoCloseable {
  private static final int CHECK_IN_MILLIS = 1_200;

  private final String id;
  private final String service;
  private final String version;
  private final int slots;
  private final LogStore store;
  private final ServerSocket listener;
  private final Function<Run, Work> behaviour;
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final long born = System.currentTimeMillis();
  private volatile boolean closed;

  /** A request that reached the replica. */
  record Run(String line, Map<String, String> headers, int bodyBytes) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String attempt() {
      return header("X-Attempt-Id");
    }
  }

  /** What the replica does with a request. */
  sealed interface Work {
    /** Works for a while, then answers with a body. */
    record Answer(int millis, String body) implements Work {}

    /** Answers with a stream of events, with a pause before each. */
    record Events(int count, int pauseMillis) implements Work {}

    /** Answers 421, which says that the request was not run. */
    record Misdirected() implements Work {}
  }

  private Replica(
      LogStore store,
      String id,
      String service,
      String version,
      int slots,
      ServerSocket listener,
      Function<Run, Work> behaviour) {
    this.store = store;
    this.id = id;
    this.service = service;
    this.version = version;
    this.slots = slots;
    this.listener = listener;
    this.behaviour = behaviour;
  }

  static Replica open(
      LogStore store, String id, String service, int slots, Function<Run, Work> behaviour)
      throws IOException {
    return open(store, id, service, "v1", slots, behaviour);
  }

  static Replica open(
      LogStore store,
      String id,
      String service,
      String version,
      int slots,
      Function<Run, Work> behaviour)
      throws IOException {
    ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Replica replica = new Replica(store, id, service, version, slots, listener, behaviour);
    Thread.ofVirtual().start(replica::accept);
    replica.checkIn(0);
    Thread.ofVirtual().start(replica::checkInRepeatedly);
    return replica;
  }

  /** Returns the requests that the replica began to work on. */
  List<Run> runs() {
    return runs;
  }

  boolean ran(String attempt) {
    return runs.stream().anyMatch(run -> run.attempt().equals(attempt));
  }

  private void checkIn(int sequence) {
    String entry =
        """
        {"service":"%s","address":"127.0.0.1:%d","zone":"seoul-a","version":"%s","slots":%d,\
        "state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}\
        """;
    store.put(
        "servers",
        id,
        entry.formatted(service, listener.getLocalPort(), version, slots, sequence, born));
  }

  private void checkInRepeatedly() {
    for (int i = 1; !closed; i++) {
      try {
        Thread.sleep(CHECK_IN_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      if (!closed) {
        checkIn(i);
      }
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
      while (true) {
        respond(socket.getOutputStream(), read(in));
      }
    } catch (IOException e) {
      // The caller closed the channel.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private void respond(OutputStream out, Run run) throws IOException, InterruptedException {
    Work work =
        run.header("X-Target-Replica").equals(id) ? behaviour.apply(run) : new Work.Misdirected();
    String identity =
        "X-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\n".formatted(run.attempt(), id, run.attempt());
    switch (work) {
      case Work.Misdirected m ->
          write(
              out,
              "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Replica-Id: "
                  + id
                  + "\r\nContent-Length: 0\r\n\r\n");
      case Work.Answer a -> {
        runs.add(run);
        Thread.sleep(a.millis());
        write(
            out,
            "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s"
                .formatted(identity, a.body().length(), a.body()));
      }
      case Work.Events e -> {
        runs.add(run);
        write(
            out,
            "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nX-Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n"
                .formatted(identity));
        for (int i = 1; i <= e.count(); i++) {
          Thread.sleep(e.pauseMillis());
          String event = "id: %d\ndata: piece %d\n\n".formatted(i, i);
          write(out, "%x\r\n%s\r\n".formatted(event.length(), event));
        }
        write(out, "0\r\n\r\n");
      }
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static Run read(InputStream in) throws IOException {
    String line = Http.line(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String h = Http.line(in); !h.isEmpty(); h = Http.line(in)) {
      int colon = h.indexOf(':');
      headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    if (in.readNBytes(length).length < length) {
      throw new EOFException();
    }
    return new Run(line, headers, length);
  }

  /** Ends for good: its channels break, and its entry goes after three check-ins of silence. */
  void crash() throws IOException {
    close();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(3 * CHECK_IN_MILLIS);
                store.put("servers", id, "");
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
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
