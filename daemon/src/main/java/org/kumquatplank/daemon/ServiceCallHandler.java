package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.core.claims.ClaimKey;
import org.kumquatplank.core.claims.Fingerprint;
import org.kumquatplank.core.claims.NonIdempotentCall;
import org.kumquatplank.core.claims.NonIdempotentCallExecutor;
import org.kumquatplank.core.claims.Outcome;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.PlainService;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.time.Deadlines;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;

/** Handles calls to plain services, which serve no model. Thread-safe. */
final class ServiceCallHandler {
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_KEY_LENGTH = 128;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1_500);
  private static final String PATH_PREFIX = "/v1/services/";

  private final Supplier<ControlSnapshot> snapshots;
  private final DispatchGate gate;
  private final PooledHttpClient client;
  private final ServicePool pool;
  private final BillTracker billTracker;
  private final RequestLog requestLog;
  private final Supplier<String> requestIds;
  private final MicroClock clock;
  private volatile NonIdempotentCallExecutor nonIdempotentCalls;

  ServiceCallHandler(
      Supplier<ControlSnapshot> snapshots,
      DispatchGate gate,
      PooledHttpClient client,
      ServicePool pool,
      BillTracker billTracker,
      RequestLog requestLog,
      Supplier<String> requestIds,
      MicroClock clock) {
    this.snapshots = snapshots;
    this.gate = gate;
    this.client = client;
    this.pool = pool;
    this.billTracker = billTracker;
    this.requestLog = requestLog;
    this.requestIds = requestIds;
    this.clock = clock;
  }

  void setNonIdempotentCalls(NonIdempotentCallExecutor executor) {
    nonIdempotentCalls = executor;
  }

  /**
   * A call to a plain service.
   *
   * @param id request id
   * @param account client account that sent the call
   * @param service service that is called
   * @param request request as received
   * @param arrived time of arrival, microseconds of the monotonic clock
   */
  private record Call(
      String id, ClientAccount account, PlainService service, Request request, long arrived) {
    /** Returns path and query to request from the service. */
    String target() {
      String path = request.path().substring(PATH_PREFIX.length() + service.name().length());
      String rootedPath = path.isEmpty() ? "/" : path;
      return request.query().isEmpty() ? rootedPath : rootedPath + "?" + request.query();
    }
  }

  /**
   * Returns the rejection of a request whose idempotency key was not looked up. An earlier
   * submission under the key may have run, so the caller must not be told otherwise.
   */
  static RouterException rejectionBeforeKeyLookup(Request request, RouterException rejection) {
    boolean mayHaveRun =
        request.path().startsWith(PATH_PREFIX)
            && request.headers().first("Idempotency-Key").isPresent();
    return mayHaveRun
        ? RouterException.of(
            rejection.code(), ExecutionStatus.UNKNOWN, rejection.getMessage(), rejection)
        : rejection;
  }

  Response handle(ClientAccount account, Request request) {
    PlainService service;
    try {
      service = findService(account, request);
    } catch (RouterException e) {
      throw rejectionBeforeKeyLookup(request, e);
    }
    Call call = new Call(requestIds.get(), account, service, request, clock.micros());
    try {
      return serve(call);
    } catch (RouterException e) {
      requestLog.failed(entry(call), e);
      throw e;
    }
  }

  private PlainService findService(ClientAccount account, Request request) {
    Configuration configuration = gate.requireFreshConfiguration();
    String suffix = request.path().substring(PATH_PREFIX.length());
    String name = suffix.contains("/") ? suffix.substring(0, suffix.indexOf('/')) : suffix;
    PlainService service =
        configuration
            .findService(name)
            .orElseThrow(
                () ->
                    RouterException.notRun(
                        ErrorCode.UNKNOWN_SERVICE, "there is no service of that name"));
    if (!account.services().contains(name)) {
      throw RouterException.notRun(
          ErrorCode.SERVICE_NOT_ALLOWED, "the account may not use this service");
    }
    return service;
  }

  private Response serve(Call call) {
    boolean nonIdempotent = call.service().isNonIdempotent(call.request().method(), call.target());
    Optional<String> key = call.request().headers().first("Idempotency-Key");
    if (nonIdempotent && key.isEmpty()) {
      throw RouterException.notRun(
          ErrorCode.KEY_MISSING, "this call needs the header Idempotency-Key");
    }
    if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_LENGTH)) {
      throw RouterException.notRun(
          ErrorCode.KEY_INVALID, "an idempotency key has 1 to " + MAX_KEY_LENGTH + " characters");
    }
    Instant deadline = Instant.now().plusMillis(call.service().timeoutMillis());
    Outcome.Answered response =
        nonIdempotent
            ? runNonIdempotent(call, key.orElseThrow(), deadline)
            : runIdempotent(call, deadline);
    billTracker.settle(bill(call, key));
    requestLog.served(entry(call));
    Headers headers = Headers.none().with("Request-Id", call.id());
    return new Response.Full(response.status(), headers, response.contentType(), response.body());
  }

  private static Bill bill(Call call, Optional<String> key) {
    String account = call.account().name();
    String id = key.map(k -> "k-" + Fingerprint.sha256(account + "\n" + k)).orElse(call.id());
    String service = call.service().name();
    return new Bill(id, account, service, "", 0, 0, 0, Bill.Ending.WHOLE);
  }

  private RequestLog.Entry entry(Call call) {
    return new RequestLog.Entry(
        call.id(),
        call.account().name(),
        call.service().name(),
        "",
        0,
        0,
        clock.micros() - call.arrived(),
        Optional.empty());
  }

  /** Sends a call at most once, by claiming its idempotency key. */
  private Outcome.Answered runNonIdempotent(Call call, String key, Instant deadline) {
    ClaimKey claimKey = new ClaimKey(call.account().name(), call.service().name() + "/" + key);
    return nonIdempotentCalls.run(
        new NonIdempotentCall(
            claimKey,
            call.request().method(),
            "/" + call.service().name() + call.target(),
            call.request().body(),
            deadline));
  }

  /**
   * Sends a claimed non-idempotent call to a server of the service.
   *
   * <p>Always uses a fresh connection: a pooled one may be dead without having been closed, and a
   * call that was sent cannot be retried.
   */
  Outcome dispatchNonIdempotent(NonIdempotentCall call) {
    String service = call.path().substring(1, call.path().indexOf('/', 1));
    String target = call.path().substring(1 + service.length());
    Set<String> tried = new HashSet<>();
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      Optional<ListedInstance> server =
          pool.select(snapshots.get().instances().serversOf(service), tried);
      if (server.isEmpty() || !acceptsRequests(server.get().id())) {
        return new Outcome.NotSent("no server of this service takes work now");
      }
      tried.add(server.get().id());
      Request request =
          Request.of(call.method(), target, call.body())
              .withHeader("Request-Id", call.key().key())
              .withHeader("Idempotency-Key", call.key().account() + "/" + call.key().key());
      try {
        FullResponse reply = exchange(server.get(), request, call.deadline(), Reuse.FRESH);
        return outcomeOf(reply, call.key().key());
      } catch (CallException e) {
        pool.markFailed(server.get().id());
        if (e.mayHaveBeenSent()) {
          return new Outcome.Lost("the answer was lost: " + e.getMessage());
        }
      }
    }
    return new Outcome.NotSent("no server of this service could be reached");
  }

  private boolean acceptsRequests(String server) {
    try {
      return gate.acceptsRequests(server);
    } catch (RouterException e) {
      return false;
    }
  }

  /**
   * Returns whether the server accepts new requests.
   *
   * @param earlierAttempts what the earlier attempts of the call may have done
   * @throws RouterException if there is no configuration or it may be outdated
   */
  private boolean acceptsRequests(String server, ExecutionStatus earlierAttempts) {
    try {
      return gate.acceptsRequests(server);
    } catch (RouterException e) {
      throw RouterException.of(e.code(), earlierAttempts, e.getMessage(), e);
    }
  }

  private static Outcome outcomeOf(FullResponse reply, String requestId) {
    boolean matches = reply.headers().first("Request-Id").filter(requestId::equals).isPresent();
    if (!matches) {
      return new Outcome.Lost("the server answered another request");
    }
    if (reply.status() >= MIN_SERVER_ERROR_STATUS) {
      return new Outcome.Lost("the server failed with status " + reply.status());
    }
    return answered(reply);
  }

  private static Outcome.Answered answered(FullResponse reply) {
    String type = reply.headers().first("Content-Type").orElse(Response.JSON);
    return new Outcome.Answered(reply.status(), type, reply.body());
  }

  private FullResponse exchange(
      ListedInstance server, Request request, Instant deadline, Reuse reuse) {
    pool.requestStarted(server.id());
    try {
      return client.exchange(server.endpoint(), request, deadline, reuse);
    } finally {
      pool.requestFinished(server.id());
    }
  }

  /** Sends a call, retrying on other servers until the deadline. */
  private Outcome.Answered runIdempotent(Call call, Instant deadline) {
    Set<String> tried = new HashSet<>();
    ExecutionStatus executionStatus = ExecutionStatus.NOT_RUN;
    for (int i = 0; i < MAX_ATTEMPTS && Instant.now().isBefore(deadline); i++) {
      Optional<ListedInstance> server =
          pool.select(snapshots.get().instances().serversOf(call.service().name()), tried);
      if (server.isEmpty() || !acceptsRequests(server.get().id(), executionStatus)) {
        break;
      }
      tried.add(server.get().id());
      try {
        Reuse reuse = i == 0 ? Reuse.REUSE : Reuse.FRESH;
        Request request =
            Request.of(call.request().method(), call.target(), call.request().body())
                .withHeader("Request-Id", call.id());
        Instant attemptDeadline = Deadlines.earlier(deadline, Instant.now().plus(ATTEMPT_TIMEOUT));
        FullResponse reply = exchange(server.get(), request, attemptDeadline, reuse);
        if (outcomeOf(reply, call.id()) instanceof Outcome.Answered answered) {
          return answered;
        }
        executionStatus = ExecutionStatus.UNKNOWN;
      } catch (CallException e) {
        executionStatus = e.mayHaveBeenSent() ? ExecutionStatus.UNKNOWN : executionStatus;
        client.discardIdle(server.get().endpoint());
      }
      pool.markFailed(server.get().id());
    }
    throw RouterException.of(
        ErrorCode.BACKEND_FAILED, executionStatus, "no server of this service answered", null);
  }
}
