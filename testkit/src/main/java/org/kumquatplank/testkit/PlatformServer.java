package org.kumquatplank.testkit;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.http.Handler;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.HttpListener;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;
import org.kumquatplank.http.ServerLimits;

/**
 * Stand-in for the platform: log, instance list, weight store and rating service in one process.
 *
 * <p>Faults are injected by {@code POST /faults}. Thread-safe.
 */
public final class PlatformServer implements Handler, AutoCloseable {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final Pattern QUALITY = Pattern.compile("\\[q([01]\\.[0-9]+)\\]");
  private static final long LISTING_TTL_NANOS = 4_000_000_000L;
  private static final int WEIGHTS_PER_SECOND = 10;
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int NOT_FOUND = 404;

  private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
  private final Map<String, Announcement> announcements = new ConcurrentHashMap<>();
  private final TokenBucket appendLimit;
  private final TokenBucket weightLimit = new TokenBucket(WEIGHTS_PER_SECOND);
  private final AtomicLong appendCount = new AtomicLong();
  private final HttpListener listener;
  private volatile PlatformFaults faults = PlatformFaults.none();

  private PlatformServer(String host, int port, int appendsPerSecond) {
    appendLimit = new TokenBucket(appendsPerSecond);
    listener = HttpListener.open(host, port, serverLimits(), this);
  }

  private static ServerLimits serverLimits() {
    ServerLimits defaults = ServerLimits.defaults();
    return new ServerLimits(
        defaults.maxConnections(),
        8 << 20,
        defaults.maxHeldBodyBytes(),
        defaults.maxLineBytes(),
        defaults.maxHeaderFields(),
        defaults.readTimeout(),
        defaults.writeTimeout());
  }

  /**
   * The latest announcement of a process and the one before its latest change. The previous one is
   * null if there was no change; times are in nanoseconds.
   */
  private record Announcement(
      ListedInstance now, ListedInstance before, long changedAt, long seen) {}

  /** The instance list as JSON. */
  private record InstanceListJson(List<ListedInstance> instances) {}

  /** A page of log records as JSON. */
  private record LogPageJson(
      long first, long next, long end, List<org.kumquatplank.core.log.LogRecord> records) {}

  /** A request to the rating service. */
  private record RatingRequest(String work_class, String answer) {}

  /** Opens a stand-in on the given address, with a limit on log appends per second. */
  public static PlatformServer open(String host, int port, int appendsPerSecond) {
    return new PlatformServer(host, port, appendsPerSecond);
  }

  /** Runs the stand-in until the process is terminated. */
  public static void main(String[] args) {
    Options options = new Options(args);
    String listen = options.getString("listen", "127.0.0.1:7000");
    open(Options.hostOf(listen), Options.portOf(listen), options.getInt("appends", 400));
    Processes.blockUntilInterrupted();
  }

  /** Returns the listening port. */
  public int port() {
    return listener.port();
  }

  @Override
  public Response handle(Request request) {
    String path = request.path();
    if (path.equals("/faults")) {
      faults = GSON.fromJson(request.body(), PlatformFaults.class);
      return Response.json(OK, "{}");
    }
    if (path.equals("/retain")) {
      int count = Integer.parseInt(request.parameter("newest").orElse("0"));
      String stream = request.parameter("stream").orElse("config");
      stream(stream).retainNewest(count);
      return Response.json(OK, "{}");
    }
    if (path.equals("/stats")) {
      return Response.json(OK, "{\"appends\":" + appendCount.get() + "}");
    }
    if (path.startsWith("/v1/log/")) {
      return handleLog(request, path.substring("/v1/log/".length()));
    }
    if (path.startsWith("/v1/instances")) {
      return handleInstances(request);
    }
    if (path.startsWith("/v1/weights/")) {
      return weightLimit.tryAcquire() ? Response.json(OK, "{\"weights\":true}") : tooManyRequests();
    }
    if (path.equals("/v1/ratings")) {
      return rate(request);
    }
    return Response.json(NOT_FOUND, "{}");
  }

  private static Response tooManyRequests() {
    return Response.json(TOO_MANY_REQUESTS, "{}");
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(name, s -> new LogStream());
  }

  private Response handleLog(Request request, String name) {
    PlatformFaults currentFaults = faults;
    Processes.sleep(currentFaults.logSlowMillis());
    if (currentFaults.logDown()) {
      return Response.json(UNAVAILABLE, "{}");
    }
    if (request.method().equals("GET")) {
      return readLog(request, name);
    }
    if (!appendLimit.tryAcquire()) {
      return tooManyRequests();
    }
    appendCount.incrementAndGet();
    long offset = stream(name).append(request.body());
    return currentFaults.loseAppendAnswers()
        ? droppedResponse()
        : Response.json(OK, "{\"offset\":" + offset + "}");
  }

  private Response readLog(Request request, String name) {
    long from = Long.parseLong(request.parameter("from").orElse("0"));
    long waitMillis = Long.parseLong(request.parameter("wait_ms").orElse("0"));
    try {
      LogPage page = stream(name).read(from, waitMillis);
      return Response.json(
          OK,
          GSON.toJson(
              new LogPageJson(page.firstRetained(), page.next(), page.end(), page.records())));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Response.json(UNAVAILABLE, "{}");
    }
  }

  /** Returns a response whose body fails before its first byte. */
  static Response droppedResponse() {
    return new Response.Streamed(
        OK,
        Headers.none(),
        Response.JSON,
        sink -> {
          throw new IOException("response dropped by an injected fault");
        });
  }

  private Response handleInstances(Request request) {
    if (faults.listDown()) {
      return Response.json(UNAVAILABLE, "{}");
    }
    long now = System.nanoTime();
    if (request.method().equals("PUT")) {
      ListedInstance instance = GSON.fromJson(request.body(), ListedInstance.class);
      announcements.merge(
          instance.id(),
          new Announcement(instance, null, now, now),
          (previous, added) ->
              previous.now().equals(instance)
                  ? new Announcement(previous.now(), previous.before(), previous.changedAt(), now)
                  : new Announcement(instance, previous.now(), now, now));
      return Response.json(OK, "{}");
    }
    long lagNanos = faults.listLagMillis() * 1_000_000;
    List<ListedInstance> listed = new ArrayList<>();
    for (Announcement announcement : announcements.values()) {
      boolean expired = now - announcement.seen() > LISTING_TTL_NANOS + lagNanos;
      boolean changeVisible = now - announcement.changedAt() >= lagNanos;
      ListedInstance visible = changeVisible ? announcement.now() : announcement.before();
      if (!expired && visible != null) {
        listed.add(visible);
      }
    }
    return Response.json(OK, GSON.toJson(new InstanceListJson(listed)));
  }

  private Response rate(Request request) {
    if (faults.ratingsDown()) {
      return Response.json(UNAVAILABLE, "{}");
    }
    RatingRequest ratingRequest = GSON.fromJson(request.body(), RatingRequest.class);
    Matcher matcher = QUALITY.matcher(ratingRequest.answer());
    return matcher.find()
        ? Response.json(OK, "{\"rating\":" + matcher.group(1) + "}")
        : Response.json(NOT_FOUND, "{}");
  }

  @Override
  public void close() {
    listener.close();
  }

  /**
   * Token bucket that limits calls per second; it holds at most the tokens of a tenth of a second.
   * Thread-safe.
   */
  private static final class TokenBucket {
    private final double tokensPerNano;
    private final double capacity;
    private double tokens;
    private long lastRefillNanos = System.nanoTime();

    TokenBucket(int perSecond) {
      tokensPerNano = perSecond / 1e9;
      capacity = perSecond / 10.0;
      tokens = capacity;
    }

    synchronized boolean tryAcquire() {
      long now = System.nanoTime();
      tokens = Math.min(capacity, tokens + (now - lastRefillNanos) * tokensPerNano);
      lastRefillNanos = now;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }
}
