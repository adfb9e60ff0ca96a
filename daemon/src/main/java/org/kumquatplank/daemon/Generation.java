package org.kumquatplank.daemon;

import java.io.IOException;
import java.util.Optional;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.RoutingRequest;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.Reuse;

/**
 * Generates the response to one request with one model version, retrying on other engines.
 *
 * <p>If an engine fails or is slow, the next engine resumes after the text that the caller has
 * already received. Not thread-safe: confined to one thread.
 */
final class Generation {
  private static final int MAX_ATTEMPTS = 4;
  private static final int PACE_SAMPLE_TOKENS = 8;

  private final RouterFacade router;
  private final PooledHttpClient client;
  private final RoutingRequest request;
  private final ChatRequest chatRequest;
  private final StringBuilder text = new StringBuilder();
  private long tokens;
  private boolean dispatched;
  private boolean needsFreshConnection;
  private long paceSampleStart;

  Generation(
      RouterFacade router,
      PooledHttpClient client,
      RoutingRequest request,
      ChatRequest chatRequest) {
    this.router = router;
    this.client = client;
    this.request = request;
    this.chatRequest = chatRequest;
  }

  /** Thrown when a write to the caller's connection fails. */
  static final class CallerGoneException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CallerGoneException(Throwable cause) {
      super("caller connection closed", cause);
    }
  }

  /** Result of one attempt on one engine. */
  private enum AttemptStatus {
    WHOLE,
    MOVED,
    FAILED
  }

  /**
   * Runs the request and writes the generated text to the sink.
   *
   * @param start backend server and version of the first attempt
   * @throws RouterException if the response cannot be completed
   * @throws CallerGoneException if a write to the sink fails
   */
  void run(Action.Send start, TextSink sink) {
    Action.Send nextStart = start;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      checkPermitted(nextStart);
      AttemptResult result = attempt(nextStart, sink);
      if (result.status() == AttemptStatus.WHOLE) {
        return;
      }
      Optional<Action.Send> restarted =
          result.status() == AttemptStatus.MOVED ? result.movedTo() : router.restart(request);
      nextStart =
          restarted.orElseThrow(
              () -> failure(ErrorCode.BACKEND_FAILED, "no engine could complete the answer"));
    }
    throw failure(ErrorCode.BACKEND_FAILED, "the answer could not be completed in several tries");
  }

  /**
   * Result of an attempt.
   *
   * @param status how the attempt ended
   * @param movedTo where the request resumes, present if the monitor moved it to another engine
   */
  private record AttemptResult(AttemptStatus status, Optional<Action.Send> movedTo) {
    static AttemptResult of(AttemptStatus status) {
      return new AttemptResult(status, Optional.empty());
    }
  }

  private void checkPermitted(Action.Send start) {
    boolean permitted;
    try {
      permitted =
          router.gate().permits(request.account(), start.plan().firstVersion(), start.backend());
    } catch (RouterException e) {
      throw failure(e.code(), e.getMessage());
    }
    if (!permitted) {
      throw failure(ErrorCode.NO_VERSION_ALLOWED, "the version or its engine was withdrawn");
    }
  }

  private RouterException failure(ErrorCode code, String message) {
    return RouterException.of(
        code, dispatched ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN, message, null);
  }

  private AttemptResult attempt(Action.Send start, TextSink sink) {
    Optional<ListedInstance> backend = router.findBackend(start.backend());
    if (backend.isEmpty()) {
      return AttemptResult.of(AttemptStatus.FAILED);
    }
    EngineCall call;
    try {
      call = openCall(start, backend.get().endpoint());
    } catch (CallException e) {
      dispatched |= e.mayHaveBeenSent();
      client.discardIdle(backend.get().endpoint());
      return failed();
    } catch (RouterException e) {
      dispatched = true;
      return failed();
    }
    dispatched = true;
    StreamMonitor.WatchedStream stream = router.monitor().watch(request.id(), call);
    try (call) {
      forward(start, call, stream, sink);
      return AttemptResult.of(AttemptStatus.WHOLE);
    } catch (IOException | RouterException e) {
      return stream.movedTo().isPresent()
          ? new AttemptResult(AttemptStatus.MOVED, stream.movedTo())
          : failed();
    } finally {
      router.monitor().unwatch(stream);
    }
  }

  private EngineCall openCall(Action.Send start, String endpoint) {
    EngineCall.CompletionRequest completionRequest =
        new EngineCall.CompletionRequest(
            start.plan().firstVersion(),
            chatRequest.messages(),
            Math.max(1, chatRequest.maxTokens() - tokens),
            true,
            request.workClass().firstTokenMillis(),
            text.toString());
    Reuse reuse = needsFreshConnection ? Reuse.FRESH : Reuse.REUSE;
    return EngineCall.open(client, endpoint, request.id(), completionRequest, reuse);
  }

  /** Records the failure; the next attempt opens a fresh connection. */
  private AttemptResult failed() {
    needsFreshConnection = true;
    router.recordFailure(request);
    return AttemptResult.of(AttemptStatus.FAILED);
  }

  private void forward(
      Action.Send start, EngineCall call, StreamMonitor.WatchedStream stream, TextSink sink)
      throws IOException {
    writeToCaller(() -> sink.setVersion(start.plan().firstVersion()));
    paceSampleStart = router.clock().micros();
    Optional<String> piece = call.next();
    while (piece.isPresent()) {
      if (!piece.get().isEmpty()) {
        receive(piece.get(), stream, sink);
      }
      piece = call.next();
    }
  }

  private void receive(String piece, StreamMonitor.WatchedStream stream, TextSink sink) {
    long now = router.clock().micros();
    stream.recordProgress(now);
    tokens++;
    if (tokens == 1) {
      router.recordFirstToken(request, now);
      paceSampleStart = now;
    } else if (tokens % PACE_SAMPLE_TOKENS == 0) {
      router.recordPace(request, (now - paceSampleStart) / (double) PACE_SAMPLE_TOKENS, now);
      paceSampleStart = now;
    }
    text.append(piece);
    writeToCaller(() -> sink.append(piece));
  }

  /** A write to the caller's connection. */
  private interface CallerWrite {
    void run() throws IOException;
  }

  private static void writeToCaller(CallerWrite write) {
    try {
      write.run();
    } catch (IOException e) {
      throw new CallerGoneException(e);
    }
  }

  String text() {
    return text.toString();
  }

  long tokens() {
    return tokens;
  }

  /** Returns whether any attempt may have reached an engine. */
  boolean dispatched() {
    return dispatched;
  }
}
