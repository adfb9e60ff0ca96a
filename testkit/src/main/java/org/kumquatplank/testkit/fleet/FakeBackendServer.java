package org.kumquatplank.testkit.fleet;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/**
 * A stand-in for a replica, which answers each request as a test says, wrongly if need be.
 *
 * <p>Thread-safe. Speaks to raw sockets, since a library would not send what a broken replica does.
 */
public final class FakeBackendServer implements AutoCloseable {
  private static final String OK_HEAD = "HTTP/1.1 200 OK\r\n";

  private final String id;
  private final ServerSocket listener;
  private final Function<Received, Behaviour> script;
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  private FakeBackendServer(
      String id, ServerSocket listener, Function<Received, Behaviour> script) {
    this.id = id;
    this.listener = listener;
    this.script = script;
  }

  /**
   * A request as it arrived.
   *
   * @param line method, path and version
   * @param headers headers by name in lower case
   * @param body body
   */
  public record Received(String line, Map<String, String> headers, String body) {
    /** Returns a header, or an empty text. */
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** What the replica does with a request. */
  public sealed interface Behaviour {
    /** It runs the request and answers. */
    record Answer(int status, String body) implements Behaviour {}

    /** It says that it did not run the request. */
    record Refuse() implements Behaviour {}

    /** It runs the request and resets the connection. */
    record Reset() implements Behaviour {}

    /** It runs the request and says nothing. */
    record Silent() implements Behaviour {}

    /** It answers, and sends an answer to another request behind. */
    record AnswerTwice(String body) implements Behaviour {}

    /** It breaks off its body. */
    record CutOff(String body) implements Behaviour {}

    /** It answers without a length, and ends with the connection. */
    record Unframed(String body) implements Behaviour {}

    /**
     * It streams events, from the one after the last that the caller has.
     *
     * @param last number of the last event of the whole stream
     * @param breakAfter number of the event after which it stops within the next, or 0
     * @param confidence opinion on the answer
     */
    record Stream(int last, int breakAfter, int confidence) implements Behaviour {}
  }

  /** Opens a replica on a free port. */
  public static FakeBackendServer open(String host, String id, Function<Received, Behaviour> script)
      throws IOException {
    ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName(host));
    FakeBackendServer replica = new FakeBackendServer(id, listener, script);
    Thread.ofVirtual().start(replica::accept);
    return replica;
  }

  /** Returns all requests that arrived. */
  public List<Received> received() {
    return List.copyOf(received);
  }

  /** Returns the entry that this replica writes into the store. */
  public String entry(String service, String state) {
    String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    return String.format(
        Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,"
            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1}",
        service,
        address,
        state);
  }

  private void accept() {
    while (!listener.isClosed()) {
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
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Received request = read(in);
        received.add(request);
        if (!answer(socket, request)) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller has closed the connection, or this replica has.
    }
  }

  private static Received read(InputStream in) throws IOException {
    String line = readLine(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return new Received(line, headers, body);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  private boolean answer(Socket socket, Received request) throws IOException {
    OutputStream out = socket.getOutputStream();
    String requestId = request.header("x-attempt-id");
    if (!request.header("x-target-replica").equals(id)) {
      write(out, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    switch (script.apply(request)) {
      case Behaviour.Answer a -> write(out, whole(a.status(), requestId, a.body()));
      case Behaviour.Refuse r ->
          write(out, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      case Behaviour.Reset r -> {
        socket.setSoLinger(true, 0);
        return false;
      }
      case Behaviour.Silent s -> {
        return socket.getInputStream().read() >= 0;
      }
      case Behaviour.AnswerTwice a -> {
        write(out, whole(200, requestId, a.body()));
        pause();
        write(out, whole(200, "another-request", "not yours"));
      }
      case Behaviour.CutOff c -> {
        String whole = whole(200, requestId, c.body());
        write(out, whole.substring(0, whole.length() - 2));
        return false;
      }
      case Behaviour.Unframed u -> {
        write(out, OK_HEAD + proof(requestId) + "\r\n" + u.body());
        return false;
      }
      case Behaviour.Stream s -> {
        return stream(out, request, s);
      }
    }
    return true;
  }

  private boolean stream(OutputStream out, Received request, Behaviour.Stream stream)
      throws IOException {
    String lastId = request.header("last-event-id");
    int from = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1;
    write(
        out,
        OK_HEAD
            + proof(request.header("x-attempt-id"))
            + "X-Confidence: "
            + stream.confidence()
            + "\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = from; i <= stream.last(); i++) {
      String event = "id: " + i + "\ndata: piece " + i + "\n\n";
      if (stream.breakAfter() > 0 && i > stream.breakAfter()) {
        chunk(out, event.substring(0, event.length() / 2));
        return false;
      }
      chunk(out, event);
    }
    write(out, "0\r\n\r\n");
    return true;
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static void pause() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String proof(String requestId) {
    return "X-Attempt-Id: " + requestId + "\r\nX-Response-Seal: seal-of-" + id + "\r\n";
  }

  private String whole(int status, String requestId, String body) {
    return "HTTP/1.1 "
        + status
        + " S\r\n"
        + proof(requestId)
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** Returns the ids of the requests that it ran. */
  public List<String> ran() {
    List<String> ids = new ArrayList<>();
    for (Received request : received) {
      if (request.header("x-target-replica").equals(id)) {
        ids.add(request.header("x-attempt-id"));
      }
    }
    return ids;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
