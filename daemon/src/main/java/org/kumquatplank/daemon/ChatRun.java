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

/** One chat request from its first decision to its bill. Confined to one thread. */
final class ChatRun {
  private static final Duration DECISION_WAIT = Duration.ofMinutes(30);
  private static final Duration JUDGE_WAIT = Duration.ofSeconds(2);

  private final ChatParts parts;
  private final RoutingRequest request;
  private final ChatRequest question;
  private final String billId;
  private Ticket ticket;
  private Action first;
  private String version = "";
  private long tokens;
  private long costMicros;
  private long firstTokenAt;

  ChatRun(ChatParts parts, RoutingRequest request, ChatRequest question, String billId) {
    this.parts = parts;
    this.request = request;
    this.question = question;
    this.billId = billId;
  }

  /** Hears of the time until which the answer is delayed. */
  interface DelayListener {
    /** Takes the time. */
    void delayedUntil(Instant until) throws IOException;
  }

  /**
   * Hands the work in and waits for the first decision.
   *
   * @throws RouterException when the work is refused
   */
  void begin() {
    ticket = parts.serving().submit(request);
    try {
      first = nextAction(ticket);
    } catch (RouterException e) {
      parts.log().failed(entry(), e);
      throw e;
    }
  }

  private Action nextAction(Ticket from) {
    Action action =
        from.await(Instant.now().plus(DECISION_WAIT))
            .orElseThrow(() -> RouterException.unknown(ErrorCode.INTERNAL, "no decision"));
    if (action instanceof Action.Refuse refuse) {
      throw refusal(refuse);
    }
    return action;
  }

  private RouterException refusal(Action.Refuse refuse) {
    return tokens > 0
        ? RouterException.of(refuse.code(), ExecutionStatus.RAN, refuse.reason(), null)
        : RouterException.notRunUntil(refuse.code(), wallTime(refuse.retryAt()), refuse.reason());
  }

  private Instant wallTime(long micros) {
    long ahead = micros - parts.serving().clock().micros();
    return Instant.now().plusNanos(ahead * MicroClock.NANOS_PER_MICRO);
  }

  /**
   * Runs the request and bills it.
   *
   * @throws RouterException when there is no whole answer
   */
  void serve(TextSink sink, DelayListener delays) {
    try {
      Action.Start start = awaitStart(delays);
      parts.bills().open(bill(Bill.Ending.CUT_SHORT));
      TextSink counted = counting(sink);
      switch (start.plan()) {
        case Plan.Single single -> runSingle(start, single, counted);
        case Plan.Cascade cascade -> runCascade(start, cascade, counted);
      }
      parts.bills().settle(bill(Bill.Ending.WHOLE));
      parts.log().served(entry());
    } catch (RouterException e) {
      settleCutShort();
      parts.log().failed(entry(), e);
      throw e;
    } catch (Generation.CallerGoneException e) {
      settleCutShort();
      RouterException gone =
          RouterException.of(ErrorCode.BACKEND_FAILED, ExecutionStatus.UNKNOWN, "the caller left", e);
      parts.log().failed(entry(), gone);
      throw gone;
    }
  }

  private Action.Start awaitStart(DelayListener delays) {
    Action action = first;
    while (!(action instanceof Action.Start)) {
      if (action instanceof Action.Delay delay) {
        tellDelay(delay, delays);
      }
      action = nextAction(ticket);
    }
    return (Action.Start) action;
  }

  private void tellDelay(Action.Delay delay, DelayListener delays) {
    try {
      delays.delayedUntil(wallTime(delay.expectedStart()));
    } catch (IOException e) {
      parts.serving().abandon(request);
      throw new Generation.CallerGoneException(e);
    }
  }

  private TextSink counting(TextSink sink) {
    return new TextSink() {
      @Override
      public void version(String name) throws IOException {
        version = name;
        sink.version(name);
      }

      @Override
      public void text(String text) throws IOException {
        if (firstTokenAt == 0) {
          firstTokenAt = parts.serving().clock().micros();
        }
        sink.text(text);
      }
    };
  }

  private void runSingle(Action.Start start, Plan.Single plan, TextSink sink) {
    version = plan.first();
    String text = generate(start, request, sink);
    parts.evidence().sample(request, plan.first(), text, plan.trial());
  }

  private void runCascade(Action.Start start, Plan.Cascade plan, TextSink sink) {
    version = plan.first();
    String cheap = generate(start, request, new Discard());
    Optional<Double> rating =
        parts.judge().rate(request.workClass().name(), cheap, Instant.now().plus(JUDGE_WAIT));
    rating.ifPresent(r -> parts.evidence().share(request.workClass().name(), plan.first(), r));
    if (rating.isPresent() && rating.get() >= plan.threshold()) {
      give(cheap, sink);
      return;
    }
    RoutingRequest second =
        new RoutingRequest(
            request.id() + "-2",
            request.account(),
            request.workClass(),
            request.promptTokens(),
            Optional.of(plan.second()),
            request.session(),
            request.arrived());
    Ticket secondTicket = parts.serving().submit(second);
    Action action = nextAction(secondTicket);
    while (!(action instanceof Action.Start)) {
      action = nextAction(secondTicket);
    }
    String text = generate((Action.Start) action, second, sink);
    parts.evidence().sample(second, plan.second(), text, false);
  }

  private static void give(String text, TextSink sink) {
    try {
      sink.text(text);
    } catch (IOException e) {
      throw new Generation.CallerGoneException(e);
    }
  }

  /** Runs one version, and counts its tokens and its cost whether or not it ends well. */
  private String generate(Action.Start start, RoutingRequest part, TextSink sink) {
    Generation generation = new Generation(parts.serving(), parts.client(), part, question);
    boolean whole = false;
    try {
      generation.run(start, sink);
      whole = true;
      return generation.text();
    } finally {
      parts.serving().finished(part, generation.tokens(), whole);
      tokens += generation.tokens();
      if (generation.dispatched()) {
        costMicros += costOf(start.plan().first(), generation.tokens());
      }
    }
  }

  /**
   * A cascade's second part has a plan of its own, so the first name is always the one that ran.
   */
  private long costOf(String name, long generated) {
    return parts
        .serving()
        .configuration()
        .findVersion(name)
        .map((ModelVersion v) -> v.costMicros(request.promptTokens(), generated))
        .orElse(0L);
  }

  private void settleCutShort() {
    if (tokens > 0) {
      parts.bills().settle(bill(Bill.Ending.CUT_SHORT));
    } else {
      parts.bills().cancel(billId);
    }
  }

  private Bill bill(Bill.Ending ending) {
    return new Bill(
        billId,
        request.account(),
        request.workClass().name(),
        version,
        request.promptTokens(),
        tokens,
        costMicros,
        ending);
  }

  private RequestLog.Entry entry() {
    long now = parts.serving().clock().micros();
    Optional<Long> firstToken =
        firstTokenAt == 0 ? Optional.empty() : Optional.of(firstTokenAt - request.arrived());
    return new RequestLog.Entry(
        request.id(),
        request.account(),
        request.workClass().name(),
        version,
        tokens,
        costMicros,
        now - request.arrived(),
        firstToken);
  }

  RoutingRequest request() {
    return request;
  }

  /** Returns the version that answers, where it is known before the answer begins. */
  Optional<String> decidedVersion() {
    return first instanceof Action.Start start && start.plan() instanceof Plan.Single
        ? Optional.of(start.plan().first())
        : Optional.empty();
  }

  /** Returns the version that a session asked for with this request keeps. */
  Optional<String> sessionVersion() {
    return request.session() ? decidedVersion() : Optional.empty();
  }

  String version() {
    return version;
  }

  ChatAnswers.Usage usage() {
    return ChatAnswers.Usage.of(request.promptTokens(), tokens);
  }

  /** Drops the text of a first answer until it has been judged. */
  private static final class Discard implements TextSink {
    @Override
    public void version(String version) {}

    @Override
    public void text(String text) {}
  }
}
