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
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Reply;
import org.kumquatplank.http.Request;

/** Serves calls to plain services. Thread-safe. */
final class ServiceCalls {
  private static final int MOST_TRIES = 3;
  private static final int LONGEST_KEY = 128;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final Duration TRY_WAIT = Duration.ofMillis(1_500);
  private static final String PATH_PREFIX = "/v1/services/";

  private final Supplier<ControlSnapshot> view;
  private final DispatchGate gate;
  private final PooledHttpClient client;
  private final ServicePool pool;
  private final BillTracker bills;
  private final RequestLog log;
  private final Supplier<String> ids;
  private final MicroClock clock;
  private volatile NonIdempotentCallExecutor onceOnly;

  ServiceCalls(
      Supplier<ControlSnapshot> view,
      DispatchGate gate,
      PooledHttpClient client,
      ServicePool pool,
      BillTracker bills,
      RequestLog log,
      Supplier<String> ids,
      MicroClock clock) {
    this.view = view;
    this.gate = gate;
    this.client = client;
    this.pool = pool;
    this.bills = bills;
    this.log = log;
    this.ids = ids;
    this.clock = clock;
  }

  void setOnceOnly(NonIdempotentCallExecutor calls) {
    onceOnly = calls;
  }

  /** A call with all that is known of it. */
  private record Call(
      String id, ClientAccount account, PlainService service, Request request, long arrived) {
    /** Returns path and query at the service. */
    String target() {
      String path = request.path().substring(PATH_PREFIX.length() + service.name().length());
      String rooted = path.isEmpty() ? "/" : path;
      return request.query().isEmpty() ? rooted : rooted + "?" + request.query();
    }
  }

  Reply handle(ClientAccount account, Request request) {
    Configuration configuration = gate.freshConfiguration();
    String rest = request.path().substring(PATH_PREFIX.length());
    String name = rest.contains("/") ? rest.substring(0, rest.indexOf('/')) : rest;
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
    Call call = new Call(ids.get(), account, service, request, clock.micros());
    try {
      return serve(call);
    } catch (RouterException e) {
      log.failed(entry(call), e);
      throw e;
    }
  }

  private Reply serve(Call call) {
    boolean once = call.service().isOnceOnly(call.request().method(), call.target());
    Optional<String> key = call.request().headers().first("Idempotency-Key");
    if (once && key.isEmpty()) {
      throw RouterException.notRun(
          ErrorCode.KEY_MISSING, "this call needs the header Idempotency-Key");
    }
    if (key.isPresent() && (key.get().isEmpty() || key.get().length() > LONGEST_KEY)) {
      throw RouterException.notRun(
          ErrorCode.KEY_INVALID, "an idempotency key has 1 to " + LONGEST_KEY + " characters");
    }
    Instant deadline = Instant.now().plusMillis(call.service().timeoutMillis());
    Outcome.Answered answer =
        once ? runOnce(call, key.orElseThrow(), deadline) : runRepeatable(call, deadline);
    bills.settle(bill(call, key));
    log.served(entry(call));
    Headers headers = Headers.none().with("Request-Id", call.id());
    return new Reply.Whole(answer.status(), headers, answer.contentType(), answer.body());
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

  private Outcome.Answered runOnce(Call call, String key, Instant deadline) {
    ClaimKey claimKey = new ClaimKey(call.account().name(), call.service().name() + "/" + key);
    return onceOnly.run(
        new NonIdempotentCall(
            claimKey,
            call.request().method(),
            "/" + call.service().name() + call.target(),
            call.request().body(),
            deadline));
  }

  /** Sends a claimed call, on a fresh connection since a kept one may have gone silent. */
  Outcome dispatchOnce(NonIdempotentCall call) {
    String service = call.path().substring(1, call.path().indexOf('/', 1));
    String target = call.path().substring(1 + service.length());
    Set<String> tried = new HashSet<>();
    for (int i = 0; i < MOST_TRIES; i++) {
      Optional<ListedInstance> server =
          pool.choose(view.get().instances().serversOf(service), tried);
      if (server.isEmpty() || !mayDispatch(server.get().id())) {
        return new Outcome.NotSent("no server of this service takes work now");
      }
      tried.add(server.get().id());
      Request request =
          Request.of(call.method(), target, call.body())
              .withHeader("Request-Id", call.key().key())
              .withHeader("Idempotency-Key", call.key().account() + "/" + call.key().key());
      try {
        WholeReply reply = exchange(server.get(), request, call.deadline(), Reuse.FRESH);
        return outcomeOf(reply, call.key().key());
      } catch (CallException e) {
        pool.failed(server.get().id());
        if (e.mayHaveBeenSent()) {
          return new Outcome.Lost("the answer was lost: " + e.getMessage());
        }
      }
    }
    return new Outcome.NotSent("no server of this service could be reached");
  }

  private boolean mayDispatch(String server) {
    try {
      return gate.takesWork(server);
    } catch (RouterException e) {
      return false;
    }
  }

  private static Outcome outcomeOf(WholeReply reply, String requestId) {
    boolean own = reply.headers().first("Request-Id").filter(requestId::equals).isPresent();
    if (!own) {
      return new Outcome.Lost("the server answered another request");
    }
    if (reply.status() >= FIRST_SERVER_ERROR) {
      return new Outcome.Lost("the server failed with status " + reply.status());
    }
    return answered(reply);
  }

  private static Outcome.Answered answered(WholeReply reply) {
    String type = reply.headers().first("Content-Type").orElse(Reply.JSON);
    return new Outcome.Answered(reply.status(), type, reply.body());
  }

  private WholeReply exchange(
      ListedInstance server, Request request, Instant deadline, Reuse reuse) {
    pool.begin(server.id());
    try {
      return client.exchange(server.endpoint(), request, deadline, reuse);
    } finally {
      pool.end(server.id());
    }
  }

  private Outcome.Answered runRepeatable(Call call, Instant deadline) {
    Set<String> tried = new HashSet<>();
    ExecutionStatus ran = ExecutionStatus.NOT_RUN;
    for (int i = 0; i < MOST_TRIES && Instant.now().isBefore(deadline); i++) {
      Optional<ListedInstance> server =
          pool.choose(view.get().instances().serversOf(call.service().name()), tried);
      if (server.isEmpty() || !gate.takesWork(server.get().id())) {
        break;
      }
      tried.add(server.get().id());
      try {
        Reuse reuse = i == 0 ? Reuse.REUSE : Reuse.FRESH;
        Request request =
            Request.of(call.request().method(), call.target(), call.request().body())
                .withHeader("Request-Id", call.id());
        Instant tryDeadline = Deadlines.earlier(deadline, Instant.now().plus(TRY_WAIT));
        WholeReply reply = exchange(server.get(), request, tryDeadline, reuse);
        if (outcomeOf(reply, call.id()) instanceof Outcome.Answered answered) {
          return answered;
        }
        ran = ExecutionStatus.UNKNOWN;
      } catch (CallException e) {
        ran = e.mayHaveBeenSent() ? ExecutionStatus.UNKNOWN : ran;
        client.discardIdle(server.get().endpoint());
      }
      pool.failed(server.get().id());
    }
    throw RouterException.of(
        ErrorCode.BACKEND_FAILED, ran, "no server of this service answered", null);
  }
}
