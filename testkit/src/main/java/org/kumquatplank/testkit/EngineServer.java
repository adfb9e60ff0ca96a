package org.kumquatplank.testkit;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kumquatplank.core.membership.ListedInstance.Role;
import org.kumquatplank.http.Handler;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.HttpListener;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;
import org.kumquatplank.http.ServerLimits;

/**
 * Stand-in for a model engine with continuous batching, priorities, streamed responses and injected
 * faults. It loads and unloads versions by orders, whose fencing number it checks or ignores.
 *
 * <p>A prompt with {@code tokens=N} gets a response of N tokens. The first token holds the quality
 * of the response, which the rating service of {@link PlatformServer} reads. Thread-safe.
 */
public final class EngineServer implements Handler, AutoCloseable {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final Pattern TOKENS = Pattern.compile("tokens=([0-9]+)");
  private static final int DEFAULT_TOKENS = 20;
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final double QUALITY_SPREAD = 0.1;
  private static final long SILENT_FAULT_MILLIS = 60_000;

  private final Map<String, Double> qualities;
  private final int tokenMillis;
  private final SlotQueue slots;
  private final Queue<ServedRequest> served = new ConcurrentLinkedQueue<>();
  private final Announcer announcer;
  private final HttpListener listener;
  private final boolean checksFencing;
  private long highestFencing;
  private volatile EngineFaults faults = EngineFaults.none();

  private EngineServer(Options options) {
    qualities = parseQualities(options.getString("versions", "small@1=0.8"));
    checksFencing = options.getString("checks-fencing", "true").equals("true");
    tokenMillis = options.getInt("token-ms", 5);
    slots = new SlotQueue(options.getInt("slots", 8));
    String listen = options.getString("listen", "127.0.0.1:0");
    String host = Options.hostOf(listen);
    listener = HttpListener.open(host, Options.portOf(listen), ServerLimits.defaults(), this);
    announcer =
        Announcer.start(options, Role.ENGINE, "", host, listener.port(), qualities.keySet());
  }

  private static Map<String, Double> parseQualities(String text) {
    Map<String, Double> qualities = new ConcurrentHashMap<>();
    for (String item : text.split(",", -1)) {
      int separator = item.lastIndexOf('=');
      qualities.put(item.substring(0, separator), Double.valueOf(item.substring(separator + 1)));
    }
    return qualities;
  }

  /** A completion request that the engine accepted. */
  private record ServedRequest(String request_id, String version, long at_millis) {}

  /** All completion requests that the engine accepted. */
  private record Stats(List<ServedRequest> served) {}

  /** A load report. */
  private record LoadReport(int slots, int running, int queued) {}

  /** An order to load a version with the given response quality, or to unload a version. */
  private record Order(long fencing, String load, String unload, double quality) {}

  /** A chat completion request. */
  private record ChatRequest(
      String model, List<Message> messages, long max_tokens, long priority, String resume_text) {}

  /** A chat message. */
  private record Message(String role, String content) {}

  /** A chunk of a streamed response. */
  private record Chunk(String id, String model, List<Choice> choices) {}

  /** The only choice of a chunk. */
  private record Choice(int index, Delta delta, String finish_reason) {}

  /** The text that a chunk adds. */
  private record Delta(String content) {}

  /** Opens a stand-in with the command-line options of {@link #main}. */
  public static EngineServer open(String... options) {
    return new EngineServer(new Options(options));
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
    return switch (request.path()) {
      case "/faults" -> {
        faults = GSON.fromJson(request.body(), EngineFaults.class);
        if (faults.leaving()) {
          announcer.announceLeaving();
        }
        yield Response.json(OK, "{}");
      }
      case "/stats" -> Response.json(OK, GSON.toJson(new Stats(List.copyOf(served))));
      case "/v1/load" ->
          Response.json(
              OK, GSON.toJson(new LoadReport(slots.slots(), slots.running(), slots.queued())));
      case "/v1/orders" -> applyOrder(GSON.fromJson(request.body(), Order.class));
      case "/v1/chat/completions" -> complete(request);
      default -> Response.json(NOT_FOUND, "{}");
    };
  }

  private synchronized Response applyOrder(Order order) {
    if (checksFencing && order.fencing() < highestFencing) {
      return Response.json(CONFLICT, "{\"error\":\"an order with a newer fencing number came\"}");
    }
    highestFencing = Math.max(highestFencing, order.fencing());
    if (order.load() != null) {
      qualities.put(order.load(), order.quality());
    }
    if (order.unload() != null) {
      qualities.remove(order.unload());
    }
    announcer.setVersions(qualities.keySet());
    return Response.json(OK, "{}");
  }

  private Response complete(Request request) {
    ChatRequest chatRequest = GSON.fromJson(request.body(), ChatRequest.class);
    if (!qualities.containsKey(chatRequest.model())) {
      return Response.json(BAD_REQUEST, "{\"error\":\"this engine has no such version\"}");
    }
    String id = request.headers().first("Request-Id").orElse("");
    served.add(new ServedRequest(id, chatRequest.model(), System.currentTimeMillis()));
    String responseId = faults.crossed() ? "another-" + id : id;
    Headers headers = Headers.none().with("Request-Id", responseId);
    return new Response.Streamed(
        OK, headers, "text/event-stream", sink -> stream(responseId, chatRequest, sink));
  }

  private void stream(String id, ChatRequest chatRequest, Response.StreamSink sink)
      throws IOException {
    try {
      slots.acquire(chatRequest.priority());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
    try {
      generate(id, chatRequest, sink);
    } finally {
      slots.release();
    }
  }

  private void generate(String id, ChatRequest chatRequest, Response.StreamSink sink)
      throws IOException {
    String prompt = chatRequest.messages().get(chatRequest.messages().size() - 1).content();
    Matcher matcher = TOKENS.matcher(prompt);
    long responseTokens = matcher.find() ? Long.parseLong(matcher.group(1)) : DEFAULT_TOKENS;
    String resumeText = chatRequest.resume_text() == null ? "" : chatRequest.resume_text();
    long generated = resumeText.chars().filter(c -> c == ' ').count();
    long sent = 0;
    for (long i = generated; i < responseTokens && sent < chatRequest.max_tokens(); i++) {
      EngineFaults currentFaults = faults;
      double batchSlowdown = 1 + (double) slots.running() / slots.slots();
      Processes.sleep(
          (long) (tokenMillis * batchSlowdown * Math.max(1, currentFaults.slowFactor())));
      if (currentFaults.silent()) {
        Processes.sleep(SILENT_FAULT_MILLIS);
      }
      if (currentFaults.breakAfterTokens() > 0 && sent >= currentFaults.breakAfterTokens()) {
        throw new IOException("stream broken by an injected fault");
      }
      sink.write(chunkEvent(id, chatRequest.model(), token(i, chatRequest.model(), prompt), null));
      sent++;
    }
    sink.write(chunkEvent(id, chatRequest.model(), null, "stop"));
    sink.write("data: [DONE]\n\n");
  }

  /**
   * Returns the token at an index of the response. Engines with the same qualities and faults
   * return the same token, so that a broken stream can be resumed at another engine.
   */
  private String token(long index, String version, String prompt) {
    if (index > 0) {
      return "word" + index + " ";
    }
    int spreadThousandths = Math.floorMod((version + prompt).hashCode(), 2_001) - 1_000;
    double quality =
        qualities.get(version)
            - faults.qualityDropFor(version)
            + QUALITY_SPREAD * spreadThousandths / 1_000;
    return String.format(Locale.ROOT, "[q%.2f] ", Math.min(1, Math.max(0, quality)));
  }

  private static String chunkEvent(String id, String version, String text, String finishReason) {
    Choice choice = new Choice(0, new Delta(text), finishReason);
    return "data: " + GSON.toJson(new Chunk(id, version, List.of(choice))) + "\n\n";
  }

  /** Returns the versions that the engine serves. */
  public Set<String> versions() {
    return Set.copyOf(qualities.keySet());
  }

  @Override
  public void close() {
    announcer.stop();
    listener.close();
  }
}
