package org.kumquatplank.testkit.fleet;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Stand-in for a backend server that responds to each request as the test specifies, including with
 * protocol faults.
 *
 * <p>Thread-safe. Writes to raw sockets, because an HTTP library would not send malformed
 * responses.
 */
public final class FakeBackendServer implements AutoCloseable {
  static final String OK_HEAD = "HTTP/1.1 200 OK\r\n";
  private static final long LATE_RESPONSE_MILLIS = 50;
  private static final long REPLACEMENT_MILLIS = 200;
  private static final int BLOCK_BYTES = 16_384;

  private final String name;
  private volatile String id;
  private volatile ServerSocket listener;
  private final Function<Received, Behaviour> behaviour;
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger endlessResponses = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private volatile Consumer<String> restartListener = endedId -> {};
  private volatile Predicate<Received> early = head -> false;
  private volatile boolean closed;

  private FakeBackendServer(
      String id, ServerSocket listener, Function<Received, Behaviour> behaviour) {
    this.name = id;
    this.id = id;
    this.listener = listener;
    this.behaviour = behaviour;
  }

  /**
   * A received request.
   *
   * @param line request line: method, path and version
   * @param headers header values by lower-case name
   * @param body request body
   */
  public record Received(String line, Map<String, String> headers, String body) {
    /** Returns the value of a header, or an empty string if it is absent. */
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** How the backend server ends a connection. */
  public enum End {
    /** Resets it. */
    RESET,
    /** Ends its own direction, and resets the connection later. */
    HALF_CLOSE_AND_RESET,
    /** Ends its own direction, and reads what the caller sends until the caller ends its own. */
    HALF_CLOSE_AND_READ
  }

  /** How the backend server responds to a request. */
  public sealed interface Behaviour {
    /** Executes the request and responds; any number goes as a status. */
    record Answer(int status, String body) implements Behaviour {}

    /**
     * Executes the request and responds with more headers.
     *
     * @param headers header lines, each with its end
     */
    record AnswerWith(String headers, String body) implements Behaviour {}

    /**
     * Rejects the request with a 503 that states that it was not executed, and more headers.
     *
     * @param headers header lines, each with its end
     */
    record RefuseWith(String headers) implements Behaviour {}

    /** Rejects the request with a 503 that states that it was not executed. */
    record Refuse() implements Behaviour {}

    /**
     * Refuses the request as misdirected, as for a model that it does not have.
     *
     * @param namesServer whether the response has the id of the server
     */
    record Misdirected(boolean namesServer) implements Behaviour {}

    /** Executes the request and resets the connection. */
    record Reset() implements Behaviour {}

    /**
     * Ends the process as it begins to respond: all connections close and new ones are refused,
     * until a process with another id listens on the address.
     *
     * @param downMillis time until the restart, milliseconds
     */
    record Crash(long downMillis) implements Behaviour {}

    /** Executes the request and sends no response. */
    record Silent() implements Behaviour {}

    /** Responds, and then sends a response to another request on the same connection. */
    record AnswerTwice(String body) implements Behaviour {}

    /**
     * Sends bytes that belong to no request, as an earlier response once more, and then executes
     * the request and responds.
     */
    record StrayBytes(String stray, String body) implements Behaviour {}

    /** Executes the request, sends these bytes, and closes the connection. */
    record Raw(String bytes) implements Behaviour {}

    /**
     * Executes the request, sends these bytes and ends the connection; for a server that responds
     * early, while the body of the request may still be on its way.
     *
     * @param pauseMillis pause between the end of the response and a reset, milliseconds
     */
    record RawEnd(String bytes, End end, long pauseMillis) implements Behaviour {}

    /** Closes the connection before the end of the response body. */
    record CutOff(String body) implements Behaviour {}

    /** Responds without a content length; the end of the connection ends the body. */
    record Unframed(String body) implements Behaviour {}

    /**
     * Streams events, starting after the last event that the caller has received.
     *
     * @param last number of the last event of the whole stream
     * @param breakAfter number of the last whole event, after which the stream breaks in the middle
     *     of the next one; 0 for never
     * @param confidence confidence in the response, sent as {@code X-Confidence}
     */
    record Stream(int last, int breakAfter, int confidence) implements Behaviour {}

    /**
     * Sends bytes without end, until the caller closes the connection.
     *
     * @param start bytes that are sent once
     * @param repeated bytes that are sent over and over
     * @param pauseMillis pause before each repetition, milliseconds; 0 sends as fast as possible
     */
    record Endless(String start, String repeated, long pauseMillis) implements Behaviour {}
  }

  /** Opens a backend server on a free port. */
  public static FakeBackendServer open(
      String host, String id, Function<Received, Behaviour> behaviour) throws IOException {
    ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName(host));
    FakeBackendServer server = new FakeBackendServer(id, listener, behaviour);
    Thread.ofVirtual().start(() -> server.accept(listener));
    return server;
  }

  /** Sets the listener that is called with the previous id after each restart. */
  public void onRestart(Consumer<String> newListener) {
    restartListener = newListener;
  }

  /** Sets which requests are responded to before their body is read; they have no body then. */
  public void respondEarly(Predicate<Received> newEarly) {
    early = newEarly;
  }

  /** Returns the id of the current process. */
  public String id() {
    return id;
  }

  /** Returns the number of crashes. */
  public int crashes() {
    return crashes.get();
  }

  /** Returns all received requests. */
  public List<Received> received() {
    return List.copyOf(received);
  }

  /** Returns the number of endless responses that are still being sent. */
  public int endlessResponses() {
    return endlessResponses.get();
  }

  /** Returns the entry that this backend server writes to the store, as JSON. */
  public String entry(String service, String state) {
    return entry(service, state, "v1");
  }

  /** Returns the entry of a backend server that runs the given software version. */
  public String entry(String service, String state, String version) {
    String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    return String.format(
        Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\",\"version\":\"%s\",\"slots\":4,"
            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1}",
        service,
        address,
        version,
        state);
  }

  /** Ends the process; one with another id takes its place at the address soon. */
  public void replace() throws IOException {
    crash(REPLACEMENT_MILLIS);
  }

  private synchronized void crash(long downMillis) throws IOException {
    if (listener.isClosed()) {
      return;
    }
    crashes.incrementAndGet();
    closeSockets();
    Thread.ofVirtual().start(() -> restart(downMillis));
  }

  private void restart(long downMillis) {
    RawWriter.pause(downMillis);
    String endedId = id;
    synchronized (this) {
      if (closed) {
        return;
      }
      id = name + "-" + crashes;
      try {
        ServerSocket reopened =
            new ServerSocket(listener.getLocalPort(), 64, listener.getInetAddress());
        listener = reopened;
        Thread.ofVirtual().start(() -> accept(reopened));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    restartListener.accept(endedId);
  }

  private void accept(ServerSocket open) {
    while (!open.isClosed()) {
      try {
        Socket socket = open.accept();
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
        Received head = RequestReader.readHead(in);
        Received request = early.test(head) ? head : RequestReader.readBody(in, head);
        received.add(request);
        if (!respond(socket, request)) {
          return;
        }
      }
    } catch (IOException e) {
      // The connection was closed by the caller or by this server.
    }
  }

  private boolean respond(Socket socket, Received request) throws IOException {
    OutputStream out = socket.getOutputStream();
    ResponseText text = new ResponseText(id, request.header("x-attempt-id"));
    if (!request.header("x-target-replica").equals(id)) {
      RawWriter.write(out, text.misdirected(true));
      return true;
    }
    switch (behaviour.apply(request)) {
      case Behaviour.Answer a -> RawWriter.write(out, text.full(a.status(), "", a.body()));
      case Behaviour.AnswerWith a -> RawWriter.write(out, text.full(200, a.headers(), a.body()));
      case Behaviour.RefuseWith r ->
          RawWriter.write(out, text.full(503, "X-Not-Executed: 1\r\n" + r.headers(), ""));
      case Behaviour.Refuse r ->
          RawWriter.write(
              out, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      case Behaviour.Misdirected m -> RawWriter.write(out, text.misdirected(m.namesServer()));
      case Behaviour.Reset r -> {
        socket.setSoLinger(true, 0);
        return false;
      }
      case Behaviour.Crash c -> {
        crash(c.downMillis());
        return false;
      }
      case Behaviour.Silent s -> {
        return socket.getInputStream().read() >= 0;
      }
      case Behaviour.AnswerTwice a -> {
        RawWriter.write(out, text.full(200, "", a.body()));
        RawWriter.pause(LATE_RESPONSE_MILLIS);
        RawWriter.write(out, new ResponseText(id, "another-request").full(200, "", "not yours"));
      }
      case Behaviour.StrayBytes s -> RawWriter.write(out, s.stray() + text.full(200, "", s.body()));
      case Behaviour.Raw r -> {
        RawWriter.write(out, r.bytes());
        return false;
      }
      case Behaviour.RawEnd r -> {
        return RawWriter.writeAndEnd(socket, r);
      }
      case Behaviour.CutOff c -> {
        String response = text.full(200, "", c.body());
        RawWriter.write(out, response.substring(0, response.length() - 2));
        return false;
      }
      case Behaviour.Unframed u -> {
        RawWriter.write(out, OK_HEAD + text.identity() + "\r\n" + u.body());
        return false;
      }
      case Behaviour.Stream s -> {
        return RawWriter.writeStream(out, id, request, s);
      }
      case Behaviour.Endless e -> {
        writeEndless(out, e);
        return false;
      }
    }
    return true;
  }

  private void writeEndless(OutputStream out, Behaviour.Endless endless) throws IOException {
    endlessResponses.incrementAndGet();
    try {
      RawWriter.write(out, endless.start());
      int copies = endless.pauseMillis() > 0 ? 1 : 1 + BLOCK_BYTES / endless.repeated().length();
      String block = endless.repeated().repeat(copies);
      while (true) {
        RawWriter.pause(endless.pauseMillis());
        RawWriter.write(out, block);
      }
    } finally {
      endlessResponses.decrementAndGet();
    }
  }

  /** Returns the status line and identity headers of a success, without an end of the head. */
  public static String openHead(Received request) {
    return OK_HEAD
        + new ResponseText(request.header("x-target-replica"), request.header("x-attempt-id"))
            .identity();
  }

  /** Returns the attempt ids of the received requests that were addressed to this server. */
  public List<String> ran() {
    return received.stream()
        .filter(request -> request.header("x-target-replica").equals(id))
        .map(request -> request.header("x-attempt-id"))
        .toList();
  }

  private void closeSockets() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    closeSockets();
  }
}
