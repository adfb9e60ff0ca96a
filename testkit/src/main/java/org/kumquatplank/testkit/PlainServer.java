package org.kumquatplank.testkit;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.kumquatplank.core.membership.ListedInstance.Role;
import org.kumquatplank.http.Handler;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.HttpListener;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;
import org.kumquatplank.http.ServerLimits;

/**
 * Stand-in for a plain service, that is an HTTP service without a model. It takes bookings, which
 * it counts and never deduplicates, and stock look-ups. Thread-safe.
 */
public final class PlainServer implements Handler, AutoCloseable {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final int OK = 200;
  private static final int CREATED = 201;

  private final Map<String, AtomicLong> runsByKey = new ConcurrentHashMap<>();
  private final AtomicLong lastBookingNumber = new AtomicLong();
  private final String id;
  private final Announcer announcer;
  private final HttpListener listener;
  private volatile PlainFaults faults = PlainFaults.none();

  private PlainServer(Options options) {
    String listen = options.getString("listen", "127.0.0.1:0");
    String host = Options.hostOf(listen);
    id = options.getString("id", "service");
    listener = HttpListener.open(host, Options.portOf(listen), ServerLimits.defaults(), this);
    announcer =
        Announcer.start(
            options,
            Role.SERVICE,
            options.getString("service", "press"),
            host,
            listener.port(),
            Set.of());
  }

  /** Number of executed bookings by idempotency key. */
  private record Stats(Map<String, Long> runs) {}

  /** The confirmation of a booking. */
  private record Booked(String booking, String key) {}

  /** The stock level of an item. */
  private record Stock(String item, int level) {}

  /** Opens a stand-in with the command-line options of {@link #main}. */
  public static PlainServer open(String... options) {
    return new PlainServer(new Options(options));
  }

  /** Runs the stand-in until the process is terminated. */
  public static void main(String[] args) {
    open(args);
    Processes.blockUntilInterrupted();
  }

  /** Returns the listening port. */
  public int port() {
    return listener.port();
  }

  @Override
  public Response handle(Request request) {
    if (request.path().equals("/faults")) {
      faults = GSON.fromJson(request.body(), PlainFaults.class);
      if (faults.leaving()) {
        announcer.announceLeaving();
      }
      return Response.json(OK, "{}");
    }
    if (request.path().equals("/stats")) {
      Map<String, Long> counts = new TreeMap<>();
      runsByKey.forEach((key, count) -> counts.put(key, count.get()));
      return Response.json(OK, GSON.toJson(new Stats(counts)));
    }
    return serve(request);
  }

  private Response serve(Request request) {
    PlainFaults currentFaults = faults;
    String requestId = request.headers().first("Request-Id").orElse("");
    Response reply = request.method().equals("POST") ? book(request) : stock(request);
    Processes.sleep(currentFaults.slowMillis());
    if (currentFaults.loseAnswers()) {
      return PlatformServer.droppedResponse();
    }
    String responseId = currentFaults.crossed() ? "another-" + requestId : requestId;
    Response.Full whole = (Response.Full) reply;
    Headers headers = Headers.none().with("Request-Id", responseId);
    return new Response.Full(whole.status(), headers, whole.contentType(), whole.body());
  }

  private Response book(Request request) {
    String key = request.headers().first("Idempotency-Key").orElse("");
    runsByKey.computeIfAbsent(key, k -> new AtomicLong()).incrementAndGet();
    String booking = id + "-" + lastBookingNumber.incrementAndGet();
    return Response.json(CREATED, GSON.toJson(new Booked(booking, key)));
  }

  private static Response stock(Request request) {
    String item = request.path().substring(request.path().lastIndexOf('/') + 1);
    return Response.json(OK, GSON.toJson(new Stock(item, Math.floorMod(item.hashCode(), 100))));
  }

  @Override
  public void close() {
    announcer.stop();
    listener.close();
  }
}
