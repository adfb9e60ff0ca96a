package org.kumquatplank.daemon;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.Plan;
import org.kumquatplank.core.routing.RoutingRequest;

/**
 * Executes one chat request, from the first routing decision to the settled bill.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class ChatExecution {
  private static final Duration DECISION_TIMEOUT = Duration.ofMinutes(30);
  private static final Duration RATING_TIMEOUT = Duration.ofSeconds(2);

  private final ChatDependencies dependencies;
  private final RoutingRequest request;
  private final ChatRequest chatRequest;
  private final String billId;
  private ActionQueue actionQueue;
  private Action firstAction;
  private String servedVersion = "";
  private long tokens;
  private long costMicros;
  private long firstTokenAt;
  private boolean dispatched;

  ChatExecution(
      ChatDependencies dependencies,
      RoutingRequest request,
      ChatRequest chatRequest,
      String billId) {
    this.dependencies = dependencies;
    this.request = request;
    this.chatRequest = chatRequest;
    this.billId = billId;
  }

  /** Receives the expected start time of a delayed response. */
  interface DelayListener {
    /** Reports that the response is delayed and is expected to start at the given time. */
    void delayedUntil(Instant until) throws IOException;
  }

  /**
   * Submits the request to the router and waits for the first decision.
   *
   * @throws RouterException if the request is rejected
   */
  void submit() {
    actionQueue = dependencies.router().submit(request);
    try {
      firstAction = nextAction(actionQueue);
    } catch (RouterException e) {
      dependencies.requestLog().failed(entry(), e);
      throw e;
    }
  }

  private Action nextAction(ActionQueue queue) {
    Action action =
        queue
            .poll(Instant.now().plus(DECISION_TIMEOUT))
            .orElseThrow(() -> RouterException.unknown(ErrorCode.INTERNAL, "no decision"));
    if (action instanceof Action.Reject refuse) {
      throw rejection(refuse);
    }
    return action;
  }

  private RouterException rejection(Action.Reject refuse) {
    return RouterException.notRunUntil(
        refuse.code(), toWallTime(refuse.retryAtMicros()), refuse.reason());
  }

  private Instant toWallTime(long micros) {
    long offsetMicros = micros - dependencies.router().clock().micros();
    return Instant.now().plusNanos(offsetMicros * MicroClock.NANOS_PER_MICRO);
  }

  /**
   * Runs the request and settles its bill.
   *
   * @throws RouterException if the response is not completed
   */
  void execute(TextSink sink, DelayListener delays) {
    try {
      Action.Send start = awaitStart(delays);
      dependencies.billTracker().open(bill(Bill.Ending.CUT_SHORT));
      TextSink recordingSink = recording(sink);
      switch (start.plan()) {
        case Plan.Single single -> runSingle(start, single, recordingSink);
        case Plan.Cascade cascade -> runCascade(start, cascade, recordingSink);
      }
      dependencies.billTracker().settle(bill(Bill.Ending.WHOLE));
      dependencies.requestLog().served(entry());
    } catch (RouterException e) {
      settleCutShort();
      RouterException failure = withEarlierVersion(e);
      dependencies.requestLog().failed(entry(), failure);
      throw failure;
    } catch (Generation.CallerGoneException e) {
      settleCutShort();
      RouterException gone =
          RouterException.of(
              ErrorCode.BACKEND_FAILED, ExecutionStatus.UNKNOWN, "the caller left", e);
      dependencies.requestLog().failed(entry(), gone);
      throw gone;
    }
  }

  /** Returns the failure, which must not deny that the first version of a cascade ran. */
  private RouterException withEarlierVersion(RouterException e) {
    return dispatched && e.executionStatus() == ExecutionStatus.NOT_RUN
        ? RouterException.of(e.code(), ExecutionStatus.RAN, e.getMessage(), e)
        : e;
  }

  private Action.Send awaitStart(DelayListener delays) {
    Action action = firstAction;
    while (!(action instanceof Action.Send)) {
      if (action instanceof Action.NotifyDelay delay) {
        notifyDelay(delay, delays);
      }
      action = nextAction(actionQueue);
    }
    return (Action.Send) action;
  }

  private void notifyDelay(Action.NotifyDelay delay, DelayListener delays) {
    try {
      delays.delayedUntil(toWallTime(delay.expectedSendMicros()));
    } catch (IOException e) {
      dependencies.router().abandon(request);
      throw new Generation.CallerGoneException(e);
    }
  }

  private TextSink recording(TextSink sink) {
    return new TextSink() {
      @Override
      public void setVersion(String name) throws IOException {
        servedVersion = name;
        sink.setVersion(name);
      }

      @Override
      public void append(String text) throws IOException {
        if (firstTokenAt == 0) {
          firstTokenAt = dependencies.router().clock().micros();
        }
        sink.append(text);
      }
    };
  }

  private void runSingle(Action.Send start, Plan.Single plan, TextSink sink) {
    servedVersion = plan.firstVersion();
    String text = generate(start, request, sink);
    dependencies
        .ratingCollector()
        .sampleForRating(request, plan.firstVersion(), text, plan.trial());
  }

  private void runCascade(Action.Send start, Plan.Cascade plan, TextSink sink) {
    servedVersion = plan.firstVersion();
    String firstText = generate(start, request, new DiscardingSink());
    Optional<Double> rating =
        dependencies
            .ratingService()
            .rate(request.workClass().name(), firstText, Instant.now().plus(RATING_TIMEOUT));
    rating.ifPresent(
        r ->
            dependencies
                .ratingCollector()
                .addAndBroadcast(request.workClass().name(), plan.firstVersion(), r));
    if (rating.isPresent() && rating.get() >= plan.minRating()) {
      write(firstText, sink);
      return;
    }
    RoutingRequest secondRequest =
        new RoutingRequest(
            request.id() + "-2",
            request.account(),
            request.workClass(),
            request.promptTokens(),
            Optional.of(plan.secondVersion()),
            request.stickySession(),
            request.arrivalMicros());
    ActionQueue secondQueue = dependencies.router().submit(secondRequest);
    Action action = nextAction(secondQueue);
    while (!(action instanceof Action.Send)) {
      action = nextAction(secondQueue);
    }
    String text = generate((Action.Send) action, secondRequest, sink);
    dependencies
        .ratingCollector()
        .sampleForRating(secondRequest, plan.secondVersion(), text, false);
  }

  private static void write(String text, TextSink sink) {
    try {
      sink.append(text);
    } catch (IOException e) {
      throw new Generation.CallerGoneException(e);
    }
  }

  /** Generates text with one version; records its tokens and cost even if the generation fails. */
  private String generate(Action.Send start, RoutingRequest generationRequest, TextSink sink) {
    Generation generation =
        new Generation(
            dependencies.router(), dependencies.client(), generationRequest, chatRequest);
    boolean complete = false;
    try {
      generation.run(start, sink);
      complete = true;
      return generation.text();
    } finally {
      dependencies.router().finished(generationRequest, generation.tokens(), complete);
      tokens += generation.tokens();
      dispatched |= generation.dispatched();
      if (generation.dispatched()) {
        costMicros += costOf(start.plan().firstVersion(), generation.tokens());
      }
    }
  }

  /**
   * Returns the cost of generating the given number of tokens with a version.
   *
   * <p>The second request of a cascade has its own plan, so the first version of a plan is always
   * the one that ran.
   */
  private long costOf(String name, long generatedTokens) {
    return dependencies
        .router()
        .configuration()
        .findVersion(name)
        .map((ModelVersion v) -> v.costMicros(request.promptTokens(), generatedTokens))
        .orElse(0L);
  }

  private void settleCutShort() {
    if (tokens > 0) {
      dependencies.billTracker().settle(bill(Bill.Ending.CUT_SHORT));
    } else {
      dependencies.billTracker().cancel(billId);
    }
  }

  private Bill bill(Bill.Ending ending) {
    return new Bill(
        billId,
        request.account(),
        request.workClass().name(),
        servedVersion,
        request.promptTokens(),
        tokens,
        costMicros,
        ending);
  }

  private RequestLog.Entry entry() {
    long now = dependencies.router().clock().micros();
    Optional<Long> firstToken =
        firstTokenAt == 0 ? Optional.empty() : Optional.of(firstTokenAt - request.arrivalMicros());
    return new RequestLog.Entry(
        request.id(),
        request.account(),
        request.workClass().name(),
        servedVersion,
        tokens,
        costMicros,
        now - request.arrivalMicros(),
        firstToken);
  }

  RoutingRequest request() {
    return request;
  }

  /** Returns the version that serves the request, or empty if it is not decided yet. */
  Optional<String> decidedVersion() {
    return firstAction instanceof Action.Send start && start.plan() instanceof Plan.Single
        ? Optional.of(start.plan().firstVersion())
        : Optional.empty();
  }

  /** Returns the version to pin the session to, or empty if there is no session or version yet. */
  Optional<String> sessionVersion() {
    return request.stickySession() ? decidedVersion() : Optional.empty();
  }

  String servedVersion() {
    return servedVersion;
  }

  ChatResponses.Usage usage() {
    return ChatResponses.Usage.of(request.promptTokens(), tokens);
  }

  /** Discards text: the first response of a cascade is withheld until it is rated. */
  private static final class DiscardingSink implements TextSink {
    @Override
    public void setVersion(String version) {}

    @Override
    public void append(String text) {}
  }
}
