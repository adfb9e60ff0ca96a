package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.catalog.RetrySafety;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.FinalResponse;
import org.kumquatplank.core.dispatch.SendTracker;
import org.kumquatplank.platform.wire.BackendResponseHead;

/**
 * One request of a caller, from its arrival to its final response, with all its retries.
 *
 * <p>Confined to the traffic thread. Ends exactly once.
 */
final class Exchange {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Limit on failed connects; they do not count as sends, so they need a limit of their own. */
  private static final int MAX_CONNECT_FAILURES = 4;

  private final Dispatcher dispatcher;
  private final ResponseWriter writer;
  private final ForwardedRequest forwarded;
  private final DispatchRequest request;
  private final ServiceInfo service;
  private final BufferLimit bufferLimit;
  private final SendTracker<BackendResponse> sendTracker = SendTracker.create();
  private final Set<BackendState> excludedBackends = new HashSet<>();
  private final HeldResponses held = new HeldResponses(sendTracker);
  private final StreamTimes times;
  private Optional<String> model = Optional.empty();
  private BackendCall call;
  private int sendCount;
  private int connectFailures;
  private boolean queued;
  private boolean streaming;
  private boolean done;

  Exchange(
      Dispatcher dispatcher,
      ResponseWriter writer,
      ForwardedRequest forwarded,
      ServiceInfo service,
      BufferLimit bufferLimit) {
    this.dispatcher = dispatcher;
    this.writer = writer;
    this.forwarded = forwarded;
    this.request = forwarded.dispatch();
    this.service = service;
    this.bufferLimit = bufferLimit;
    this.times = new StreamTimes(request.arrivalMicros());
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

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

  Set<BackendState> excludedBackends() {
    return excludedBackends;
  }

  StreamTimes times() {
    return times;
  }

  boolean isDone() {
    return done;
  }

  boolean isQueued() {
    return queued;
  }

  void setQueued(boolean nowQueued) {
    queued = nowQueued;
  }

  Optional<BackendCall> call() {
    return Optional.ofNullable(call);
  }

  boolean routerSelectsModel() {
    return forwarded.head().routerSelectsModel();
  }

  /** Ends the exchange if its time is up or its caller has left; returns whether it has ended. */
  boolean endIfLate(long now) {
    if (done) {
      return true;
    }
    if (!writer.isOpen()) {
      onCallerDisconnected();
    } else if (now >= request.deadlineMicros()) {
      endUnfinished("the time is up", true);
    }
    return done;
  }

  void send(BackendSelector.Selection selection, long now) {
    sendCount++;
    queued = false;
    call = BackendCall.open(this, selection, sendTracker, now);
    dispatcher.pool().acquire(selection.backend(), !request.route().isRetryable(), call);
  }

  FullHttpRequest backendRequest(BackendCall forCall) {
    BackendState backend = forCall.selection().backend();
    return forwarded.encode(backend.server().id(), model, held.events().lastId());
  }

  void onConnectFailed(BackendCall ended, String reason) {
    sendCount--;
    connectFailures++;
    excludedBackends.add(ended.selection().backend());
    dispatcher.outcomes().onUnreachable(this, ended, reason);
    if (connectFailures > MAX_CONNECT_FAILURES) {
      endWithError("no backend server could be reached", false);
    } else {
      dispatcher.dispatch(this);
    }
  }

  /** Dispatches the request anew, which may no longer be sent where the connection leads. */
  void onNotSent() {
    sendCount--;
    dispatcher.dispatch(this);
  }

  /**
   * Returns whether the request may be sent once more, by its route and the shared retry limit.
   *
   * <p>Takes one retry from the limit if so.
   */
  private boolean takeRetry(boolean hasRun) {
    boolean allowed = !hasRun || request.route().isRetryable();
    boolean resumable = request.route().retrySafety() == RetrySafety.RESUMABLE;
    return allowed
        && (!streaming || (resumable && held.events().isResumable()))
        && sendCount < request.route().maxAttempts()
        && Clock.micros() < request.deadlineMicros()
        && dispatcher.takeRetry(this);
  }

  private void retryOrEnd(BackendCall ended, boolean hasRun, String reason, String error) {
    if (takeRetry(hasRun)) {
      retry(ended, reason);
    } else {
      endWithError(error, false);
    }
  }

  private void retry(BackendCall ended, String reason) {
    excludedBackends.add(ended.selection().backend());
    held.dropUnfinished();
    recordHeld();
    EdgeLog.retry(this, ended, reason);
    dispatcher.dispatch(this);
  }

  void onHead(BackendCall from, BackendResponseHead response) {
    if (!response.isSuccess()) {
      return;
    }
    Optional<String> fault = BackendResponse.faultOfSuccess(response);
    if (fault.isPresent()) {
      from.cancel();
      onBrokenResponse(from, fault.get());
      return;
    }
    if (request.route().stream()) {
      dispatcher.outcomes().onFirstResponse(this, from);
      Optional<String> larger =
          streaming ? Optional.empty() : dispatcher.choice().largerModel(this, response);
      if (larger.isPresent()
          && sendCount < request.route().maxAttempts()
          && Clock.micros() < request.deadlineMicros()
          && dispatcher.takeRetry(this)) {
        from.cancel();
        dispatcher.outcomes().onEscalated(this, from, response.confidence(), larger.get());
        model = larger;
        dispatcher.dispatch(this);
      }
    }
  }

  void onBody(BackendCall from, BackendResponseHead response, ByteBuf bytes) {
    if (from.hasEnded()) {
      return;
    }
    if (isStream(response)) {
      onStreamBytes(from, response, bytes);
    } else {
      held.buffer().add(bytes);
      if (held.buffer().isTooLarge()) {
        from.cancel();
        onBrokenResponse(from, "an answer that is too large");
      }
    }
    recordHeld();
  }

  private void recordHeld() {
    bufferLimit.record(this, done ? 0 : held.size());
  }

  /** Drops what is held, and ends an open call, when responses take too much memory in total. */
  void dropHeldResponses() {
    held.dropAll();
    recordHeld();
    if (call != null && !call.hasEnded()) {
      call.cancel();
      onBrokenResponse(call, "an answer for which there is no memory");
    }
  }

  boolean isStream(BackendResponseHead response) {
    return response.isSuccess() && request.route().stream();
  }

  private void onStreamBytes(BackendCall from, BackendResponseHead response, ByteBuf bytes) {
    int eventsBefore = held.events().eventCount();
    Optional<ByteBuf> completeEvents = held.events().add(bytes);
    if (held.events().isTooLong()) {
      from.cancel();
      onBrokenResponse(from, "an event that is too long");
      return;
    }
    if (completeEvents.isPresent()) {
      beginStream(response);
      if (held.events().eventCount() > eventsBefore) {
        times.recordEvent(Clock.micros());
      }
      writer.sendEvents(completeEvents.get());
      if (!writer.isWritable()) {
        from.setReading(false);
      }
    }
  }

  private void beginStream(BackendResponseHead response) {
    if (!streaming) {
      streaming = true;
      writer.beginStream(response.status(), response.forwardedHeaders());
    }
  }

  /** Pauses reading from the backend server while the caller's connection can't take bytes. */
  void onWritable() {
    if (call != null) {
      call.setReading(writer.isWritable());
    }
  }

  void onEnd(BackendCall from, BackendResponseHead response) {
    if (done) {
      return;
    }
    switch (response.kind()) {
      case REFUSAL -> onNotRun(from, response);
      case FAILURE, FALSE_DENIAL -> onErrorResponse(from, response);
      case SUCCESS -> onSuccess(from, response);
    }
  }

  private void onSuccess(BackendCall from, BackendResponseHead response) {
    if (request.route().stream()) {
      onStreamEnd(from, response);
      return;
    }
    dispatcher.outcomes().onSuccess(this, from, 1);
    BackendResponse whole = new BackendResponse(response, held.buffer().take());
    respond(sendTracker.succeed(response.kind(), whole), "");
  }

  private void onStreamEnd(BackendCall from, BackendResponseHead response) {
    if (held.events().hasPartial()) {
      onBrokenResponse(from, "a stream that ends within an event");
      return;
    }
    beginStream(response);
    dispatcher.outcomes().onSuccess(this, from, Math.max(1, held.events().eventCount()));
    finish("streamed");
    writer.endStream();
  }

  private void onNotRun(BackendCall from, BackendResponseHead response) {
    dispatcher.outcomes().onNotRun(this, from, response);
    if (response.misdirected() && from.selection().backend().isServer(response.backendId())) {
      sendTracker.keep(response.kind(), new BackendResponse(response, held.buffer().take()));
    }
    retryOrEnd(from, false, "refused with " + response.status(), "backend servers refused it");
  }

  private void onErrorResponse(BackendCall from, BackendResponseHead response) {
    dispatcher.outcomes().onFailure(this, from, "status " + response.status());
    sendTracker.keep(response.kind(), new BackendResponse(response, held.buffer().take()));
    retryOrEnd(from, true, "failed with " + response.status(), "the backend server failed");
  }

  void onBrokenResponse(BackendCall from, String reason) {
    if (done) {
      return;
    }
    dispatcher.outcomes().onFailure(this, from, reason);
    retryOrEnd(from, true, reason, reason);
  }

  /** Ends the exchange at its deadline and retries it elsewhere if the backend server is silent. */
  void tick(long now) {
    if (!endIfLate(now) && call != null && !call.hasEnded()) {
      long silentMicros = now - call.lastProgressAt();
      boolean silent = silentMicros > dispatcher.silenceTimeoutMicros(this, call, streaming);
      if (silent && writer.isWritable() && takeRetry(true)) {
        BackendCall silentCall = call;
        silentCall.cancel();
        dispatcher.outcomes().onSilent(this, silentCall, silentMicros);
        retry(silentCall, "silent for " + silentMicros / MICROS_PER_MILLI + " ms");
      }
    }
  }

  /** Cancels an open call and ends the exchange with what is known of its sends. */
  void endUnfinished(String reason, boolean timedOut) {
    call().ifPresent(BackendCall::cancel);
    endWithError(reason, timedOut);
  }

  /** Returns whether a backend server may have run the request. */
  boolean mayHaveRun() {
    return sendTracker.mayHaveRun();
  }

  /** Ends the exchange with a kept response or, without one, an error of this router. */
  void endWithError(String reason, boolean timedOut) {
    if (done) {
      return;
    }
    if (streaming) {
      finish("aborted: " + reason);
      writer.abort();
      return;
    }
    respond(sendTracker.fail(timedOut), reason);
  }

  /** Ends the exchange with a response; the reason is for one that this router makes. */
  private void respond(FinalResponse<BackendResponse> end, String reason) {
    CallerResponse response =
        CallerResponse.of(end, forwarded.head(), () -> dispatcher.retryAfterSeconds(this), reason);
    finish(response.outcome());
    writer.respond(response);
  }

  /** Cancels the exchange after the caller has closed its connection. */
  void onCallerDisconnected() {
    if (!done) {
      call().ifPresent(BackendCall::cancel);
      finish("caller_gone");
    }
  }

  private void finish(String outcome) {
    done = true;
    recordHeld();
    dispatcher.onDone(this, outcome);
  }

  int sendCount() {
    return sendCount;
  }

  int eventCount() {
    return held.events().eventCount();
  }
}
