package org.kumquatplank.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kumquatplank.core.admin.ConfigResponse;
import org.kumquatplank.core.admin.InstanceStatus;
import org.kumquatplank.core.admin.InstanceStatus.BackendStatus;
import org.kumquatplank.core.admin.InstanceStatus.EntryStatus;
import org.kumquatplank.core.admin.PublishRequest;
import org.kumquatplank.core.admin.PublishStatus;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.http.Handler;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;

/** HTTP API for operators. Every path requires the operators' credential. Thread-safe. */
final class AdminApi implements Handler {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final long MAX_WAIT_MILLIS = 60_000;

  private final String adminToken;
  private final String self;
  private final ControlThread controlThread;
  private final ControlState state;
  private final Freshness freshness;
  private final ConfigPublisher publisher;
  private final EventLog log;
  private final MetricRegistry metrics;
  private final Drain drain;
  private final Runnable startDrain;

  AdminApi(
      String adminToken,
      String self,
      ControlThread controlThread,
      ControlState state,
      Freshness freshness,
      ConfigPublisher publisher,
      EventLog log,
      MetricRegistry metrics,
      Drain drain,
      Runnable startDrain) {
    this.adminToken = adminToken;
    this.self = self;
    this.controlThread = controlThread;
    this.state = state;
    this.freshness = freshness;
    this.publisher = publisher;
    this.log = log;
    this.metrics = metrics;
    this.drain = drain;
    this.startDrain = startDrain;
  }

  /**
   * Explanation of a routing decision.
   *
   * @param request request id
   * @param decision text that explains the decision
   */
  private record Explanation(String request, String decision) {}

  @Override
  public Response handle(Request request) {
    Authentication.requireOperator(adminToken, request);
    String operation = request.method() + " " + request.path();
    return switch (operation) {
      case "GET /admin/config" -> showConfiguration();
      case "POST /admin/config" -> publish(request);
      case "GET /admin/spread" -> publishStatus(request);
      case "GET /admin/status" -> Response.json(OK, GSON.toJson(status()));
      case "GET /admin/metrics" ->
          new Response.Full(OK, Headers.none(), "text/plain", MetricsText.format(metrics));
      case "GET /admin/explain" -> explain(request);
      case "GET /admin/log" -> readLog(request);
      case "POST /admin/drain" -> {
        startDrain.run();
        yield Response.json(ACCEPTED, "{\"draining\":true}");
      }
      default -> throw RouterException.notRun(ErrorCode.NOT_FOUND, "there is nothing at this path");
    };
  }

  private Response showConfiguration() {
    var configuration = state.snapshot().configuration();
    JsonElement document = JsonParser.parseString(ConfigCodec.toDocument(configuration));
    return Response.json(OK, GSON.toJson(new ConfigResponse(configuration.version(), document)));
  }

  private Response publish(Request request) {
    PublishRequest change;
    List<ConfigOp> ops;
    try {
      change = GSON.fromJson(request.body(), PublishRequest.class);
      ops = ConfigCodec.opsFromJson(GSON.toJson(change.ops()));
    } catch (JsonParseException | NullPointerException e) {
      throw RouterException.notRun(ErrorCode.MALFORMED_REQUEST, "the change is malformed");
    }
    if (change.base() == null || change.author() == null || ops.isEmpty()) {
      throw RouterException.notRun(
          ErrorCode.MALFORMED_REQUEST, "a change needs base, author and one step or more");
    }
    long version = publisher.publish(change.base(), ops, change.author());
    return publishStatusReply(publisher.awaitInForce(version, waitDeadline(request)));
  }

  private Response publishStatus(Request request) {
    long version =
        request
            .parameter("version")
            .map(AdminApi::parseNumber)
            .orElse(state.snapshot().configuration().version());
    return publishStatusReply(publisher.awaitInForce(version, waitDeadline(request)));
  }

  private static Response publishStatusReply(PublishStatus status) {
    return Response.json(status.in_force() ? OK : ACCEPTED, GSON.toJson(status));
  }

  private static Instant waitDeadline(Request request) {
    long millis = request.parameter("wait_ms").map(AdminApi::parseNumber).orElse(0L);
    return Instant.now().plus(Duration.ofMillis(Math.min(millis, MAX_WAIT_MILLIS)));
  }

  private static long parseNumber(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw RouterException.notRun(ErrorCode.MALFORMED_REQUEST, "a number is expected");
    }
  }

  private InstanceStatus status() {
    ControlSnapshot snapshot = state.snapshot();
    Map<String, ControlState.PeerDigest> peers = controlThread.call(state::peerDigests);
    List<EntryStatus> entries =
        snapshot.instances().entries().stream().map(e -> entryStatus(e, snapshot, peers)).toList();
    List<BackendStatus> backends =
        snapshot.instances().instances().stream()
            .filter(instance -> instance.role() != ListedInstance.Role.ENTRY)
            .map(AdminApi::backendStatus)
            .toList();
    return new InstanceStatus(
        self,
        snapshot.configuration().version(),
        freshness.isFresh(),
        freshness.logReachable(),
        drain.isDraining(),
        controlThread.call(() -> state.router().queuedRequests()),
        entries,
        backends);
  }

  private EntryStatus entryStatus(
      ListedInstance entry, ControlSnapshot snapshot, Map<String, ControlState.PeerDigest> peers) {
    boolean isSelf = entry.id().equals(self);
    Optional<ControlState.PeerDigest> digest = Optional.ofNullable(peers.get(entry.id()));
    Long version =
        isSelf
            ? Long.valueOf(snapshot.configuration().version())
            : digest.map(ControlState.PeerDigest::configVersion).orElse(null);
    boolean isDraining =
        isSelf ? drain.isDraining() : digest.map(ControlState.PeerDigest::draining).orElse(false);
    return new EntryStatus(
        entry.id(), entry.endpoint(), entry.failureDomain(), entry.leaving(), isDraining, version);
  }

  private static BackendStatus backendStatus(ListedInstance backend) {
    String serves =
        backend.service().isEmpty()
            ? String.join(" ", backend.versions().stream().sorted().toList())
            : backend.service();
    return new BackendStatus(
        backend.id(), backend.role().name(), backend.failureDomain(), backend.leaving(), serves);
  }

  private Response explain(Request request) {
    String id = request.parameter("request").orElse("");
    String text =
        controlThread
            .call(() -> state.router().explain(id))
            .orElseThrow(
                () ->
                    RouterException.notRun(
                        ErrorCode.NOT_FOUND, "this instance remembers no such request"));
    return Response.json(OK, GSON.toJson(new Explanation(id, text)));
  }

  private Response readLog(Request request) {
    String stream = request.parameter("stream").orElse(ConfigFollower.STREAM);
    long from = request.parameter("from").map(AdminApi::parseNumber).orElse(0L);
    try {
      LogPage page = log.read(stream, from, Instant.MIN);
      return Response.json(OK, GSON.toJson(page));
    } catch (LogException e) {
      throw RouterException.notRun(ErrorCode.LOG_UNAVAILABLE, "the log can't be read now");
    }
  }
}
