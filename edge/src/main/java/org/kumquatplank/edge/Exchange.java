package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.kumquatplank.core.catalog.Repeatability;
import org.kumquatplank.core.catalog.Route;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.SendTracker;
import org.kumquatplank.platform.wire.BackendHead;
import org.kumquatplank.platform.wire.BackendProtocol;
import org.kumquatplank.platform.wire.CallerHead;
import org.kumquatplank.platform.wire.CallerProtocol;
import org.kumquatplank.platform.wire.CallerProtocol.OwnAnswer;

/**
 * One request of a caller, from its arrival to its final answer.
 *
 * <p>Confined to the traffic thread. Ends exactly once.
 */
final class Exchange {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Backend servers that could not be reached do not count as sends, but not without end. */
  private static final int MOST_UNREACHED = 4;

  private final Dispatcher dispatcher;
  private final Caller caller;
  private final CallerHead head;
  private final byte[] body;
  private final DispatchRequest request;
  private final ServiceInfo service;
  private final SendTracker sendTracker = SendTracker.create();
  private final Set<BackendState> excluded = new HashSet<>();
  private final EventSplitter events = new EventSplitter();
  private final AnswerBuffer buffer = new AnswerBuffer();
  private final StreamTimes times;
  private Optional<String> model = Optional.empty();
  private BackendCall call;
  private int sends;
  private int unreached;
  private boolean waiting;
  private boolean streaming;
  private boolean done;
  private Optional<KeptFailure> keptFailure = Optional.empty();

  Exchange(
      Dispatcher dispatcher,
      Caller caller,
      CallerHead head,
      byte[] body,
      DispatchRequest request,
      ServiceInfo service) {
    this.dispatcher = dispatcher;
    this.caller = caller;
    this.head = head;
    this.body = body;
    this.request = request;
    this.service = service;
    this.times = new StreamTimes(request.arrived());
  }

  /** A failure of a backend server, which is the answer if no repeat brings a better one. */
  private record KeptFailure(BackendHead head, ByteBuf body) {}

  DispatchRequest request() {
    return request;
  }

  ServiceInfo service() {
    return service;
  }

  Optional<String> model() {
    return model;
  }

  void setModel(Optional<String> newModel) {
    model = newModel;
  }

  Set<BackendState> excluded() {
    return excluded;
  }

  StreamTimes times() {
    return times;
  }

  boolean isDone() {
    return done;
  }

  boolean isWaiting() {
    return waiting;
  }

  void setWaiting(boolean nowWaiting) {
    waiting = nowWaiting;
  }

  Optional<BackendCall> call() {
    return Optional.ofNullable(call);
  }

  boolean choosesModel() {
    return head.choosesModel();
  }

  private Route route() {
    return request.route();
  }

  // ---- sending

  void send(BackendSelector.Selection selection, long now) {
    sends++;
    waiting = false;
    call = BackendCall.open(this, selection, sendTracker, now);
    boolean once = !route().isRepeatable();
    dispatcher.pool().acquire(selection.backend(), once, call);
  }

  Object backendRequest(BackendCall forCall) {
    long left = Math.max(1, (request.deadline() - Clock.micros()) / MICROS_PER_MILLI);
    BackendState backend = forCall.choice().backend();
    Optional<String> account =
        request.account().isEmpty() ? Optional.empty() : Optional.of(request.account());
    Optional<String> lastEvent = events.lastId().isPresent() ? events.lastId() : head.lastEvent();
    return BackendProtocol.request(
        head,
        body,
        new BackendProtocol.Terms(
            left, backend.server().id(), account, model, request.priority(), lastEvent));
  }

  void onNotConnected(BackendCall ended, String reason) {
    sends--;
    unreached++;
    excluded.add(ended.choice().backend());
    dispatcher.onUnreachable(this, ended, reason);
    if (unreached > MOST_UNREACHED) {
      giveUp("no backend server could be reached", false);
    } else {
      dispatcher.place(this);
    }
  }

  /** Whether one more backend server may get the request, by its class and the common limit. */
  private boolean mayRepeat(boolean hasRun) {
    boolean allowed = !hasRun || route().isRepeatable();
    boolean resumable = !streaming || route().repeatability() == Repeatability.RESUMABLE;
    return allowed
        && resumable
        && sends < route().maxSends()
        && Clock.micros() < request.deadline()
        && dispatcher.takeRepeat(this);
  }

  private void repeat(BackendCall ended, String reason) {
    excluded.add(ended.choice().backend());
    events.dropPartial();
    buffer.clear();
    EdgeLog.event("repeat")
        .addKeyValue("id", request.id())
        .addKeyValue("reason", reason)
        .addKeyValue("from", ended.choice().backend().server().id())
        .addKeyValue("sends", sends)
        .log();
    dispatcher.place(this);
  }

  // ---- answers

  void onHead(BackendCall from, BackendHead answer) {
    boolean good = answer.isSuccess();
    if (good && (!answer.sealed() || answer.encoded())) {
      from.cancel();
      onBroken(from, "a success that no backend server has made");
      return;
    }
    if (good && route().stream()) {
      dispatcher.onFirstAnswer(this, from);
      Optional<String> larger =
          streaming ? Optional.empty() : dispatcher.largerModel(this, answer.confidence());
      if (larger.isPresent() && sends < route().maxSends() && dispatcher.takeRepeat(this)) {
        from.cancel();
        askLarger(from, larger.get(), answer);
      }
    }
  }

  private void askLarger(BackendCall from, String larger, BackendHead answer) {
    dispatcher.onEscalated(this, from, answer.confidence(), larger);
    model = Optional.of(larger);
    dispatcher.place(this);
  }

  void onBody(BackendCall from, BackendHead answer, ByteBuf bytes) {
    if (from.isOver()) {
      return;
    }
    if (answer.isSuccess() && route().stream()) {
      onStreamBytes(from, answer, bytes);
      return;
    }
    buffer.add(bytes);
    if (buffer.isTooLarge()) {
      from.cancel();
      onBroken(from, "an answer that is too large");
    }
  }

  private void onStreamBytes(BackendCall from, BackendHead answer, ByteBuf bytes) {
    Optional<ByteBuf> whole = events.feed(bytes);
    if (events.isTooLong()) {
      from.cancel();
      onBroken(from, "an event that is too long");
      return;
    }
    if (whole.isPresent()) {
      beginStream(answer);
      times.note(Clock.micros());
      caller.sendPart(whole.get());
      if (!caller.isWritable()) {
        from.setReading(false);
      }
    }
  }

  private void beginStream(BackendHead answer) {
    if (!streaming) {
      streaming = true;
      caller.beginStream(answer.status(), answer.passed());
    }
  }

  /** The caller takes bytes again. */
  void onWritable() {
    if (call != null) {
      call.setReading(caller.isWritable());
    }
  }

  void onEnd(BackendCall from, BackendHead answer) {
    if (done) {
      return;
    }
    if (answer.notRun()) {
      onRefusedUnrun(from, answer);
    } else if (!answer.isSuccess()) {
      onFailureAnswer(from, answer);
    } else if (route().stream()) {
      onStreamEnd(from, answer);
    } else {
      dispatcher.onGood(this, from, 1);
      finish("answered");
      caller.answer(answer.status(), answer.passed(), buffer.take());
    }
  }

  private void onStreamEnd(BackendCall from, BackendHead answer) {
    if (events.hasPartial()) {
      onBroken(from, "a stream that ends within an event");
      return;
    }
    beginStream(answer);
    dispatcher.onGood(this, from, Math.max(1, events.events()));
    finish("streamed");
    caller.endStream();
  }

  private void onRefusedUnrun(BackendCall from, BackendHead answer) {
    dispatcher.onRefusedUnrun(this, from, answer);
    if (mayRepeat(false)) {
      repeat(from, "refused with " + answer.status());
    } else if (streaming) {
      abort("no backend server goes on with the stream");
    } else {
      giveUp("backend servers refused it", false);
    }
  }

  private void onFailureAnswer(BackendCall from, BackendHead answer) {
    dispatcher.onBad(this, from, "status " + answer.status());
    KeptFailure failure = new KeptFailure(answer, buffer.take());
    if (mayRepeat(true)) {
      keptFailure = Optional.of(failure);
      repeat(from, "failed with " + answer.status());
    } else if (streaming) {
      abort("the backend server that was to go on failed");
    } else {
      passFailure(failure);
    }
  }

  private void passFailure(KeptFailure failure) {
    finish("failed_at_backend");
    caller.answer(failure.head().status(), failure.head().passed(), failure.body());
  }

  void onBroken(BackendCall from, String reason) {
    if (done) {
      return;
    }
    dispatcher.onBad(this, from, reason);
    if (mayRepeat(true)) {
      repeat(from, reason);
    } else if (streaming) {
      abort(reason);
    } else {
      giveUp(reason, false);
    }
  }

  // ---- ends

  /** Called now and then: ends the exchange at its deadline and leaves silent backend servers. */
  void tick(long now) {
    if (done) {
      return;
    }
    if (now >= request.deadline()) {
      onDeadline();
    } else if (call != null && !call.isOver()) {
      long silent = now - call.progressAt();
      long patience = dispatcher.patienceMicros(this, call, streaming);
      if (silent > patience && caller.isWritable() && mayRepeat(true)) {
        BackendCall left = call;
        left.cancel();
        dispatcher.onSilent(this, left, silent);
        repeat(left, "silent for " + silent / MICROS_PER_MILLI + " ms");
      }
    }
  }

  private void onDeadline() {
    if (call != null) {
      call.cancel();
    }
    if (streaming) {
      abort("the time is up");
    } else {
      giveUp("the time is up", true);
    }
  }

  /** Ends the exchange without an answer of a backend server. */
  void giveUp(String reason, boolean timedOut) {
    if (done) {
      return;
    }
    if (streaming) {
      abort(reason);
      return;
    }
    if (keptFailure.isPresent()) {
      passFailure(keptFailure.get());
      return;
    }
    SendTracker.Verdict verdict = sendTracker.verdict(timedOut);
    OptionalDouble retry =
        verdict == SendTracker.Verdict.NOT_RUN
            ? OptionalDouble.of(dispatcher.retrySeconds(this))
            : OptionalDouble.empty();
    finish(verdict + ": " + reason);
    OwnAnswer answer = OwnAnswer.of(verdict);
    caller.answer(CallerProtocol.answer(answer, head.id(), retry, reason));
  }

  private void abort(String reason) {
    finish("aborted: " + reason);
    caller.abort();
  }

  /** The caller has closed its connection. */
  void onCallerGone() {
    if (!done) {
      if (call != null) {
        call.cancel();
      }
      finish("caller_gone");
    }
  }

  private void finish(String outcome) {
    done = true;
    dispatcher.onDone(this, outcome);
  }

  int sends() {
    return sends;
  }
}
