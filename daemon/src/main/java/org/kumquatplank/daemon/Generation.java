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
 * Runs one request on one version until its text is whole, on as many engines as it takes.
 *
 * <p>Where an engine fails or is slow, the next one goes on after the text that the caller already
 * has. Confined to one thread.
 */
final class Generation {
  private static final int MOST_ATTEMPTS = 4;
  private static final int PACE_STRETCH_TOKENS = 8;

  private final Serving serving;
  private final PooledHttpClient client;
  private final RoutingRequest request;
  private final ChatRequest question;
  private final StringBuilder text = new StringBuilder();
  private long tokens;
  private boolean dispatched;
  private boolean wantFresh;
  private long stretchStart;

  Generation(Serving serving, PooledHttpClient client, RoutingRequest request, ChatRequest question) {
    this.serving = serving;
    this.client = client;
    this.request = request;
    this.question = question;
  }

  /** Failure of the caller's own connection. */
  static final class CallerGoneException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CallerGoneException(Throwable cause) {
      super("the caller is gone", cause);
    }
  }

  /** How one attempt ended. */
  private enum Attempt {
    WHOLE,
    MOVED,
    FAILED
  }

  /**
   * Runs the request.
   *
   * @param start where to begin
   * @throws RouterException when the answer can't be made whole
   * @throws CallerGoneException when the sink fails
   */
  void run(Action.Start start, TextSink sink) {
    Action.Start current = start;
    for (int i = 0; i < MOST_ATTEMPTS; i++) {
      checkPermitted(current);
      Outcome outcome = attempt(current, sink);
      if (outcome.attempt() == Attempt.WHOLE) {
        return;
      }
      Optional<Action.Start> next =
          outcome.attempt() == Attempt.MOVED ? outcome.movedTo() : serving.restart(request);
      current =
          next.orElseThrow(
              () -> failure(ErrorCode.BACKEND_FAILED, "no engine could complete the answer"));
    }
    throw failure(ErrorCode.BACKEND_FAILED, "the answer could not be completed in several tries");
  }

  /** The end of an attempt, with the next place where the monitor chose one. */
  private record Outcome(Attempt attempt, Optional<Action.Start> movedTo) {
    static Outcome of(Attempt attempt) {
      return new Outcome(attempt, Optional.empty());
    }
  }

  private void checkPermitted(Action.Start start) {
    boolean permitted;
    try {
      permitted = serving.gate().permits(request.account(), start.plan().first(), start.backend());
    } catch (RouterException e) {
      throw failure(e.code(), e.getMessage());
    }
    if (!permitted) {
      throw failure(ErrorCode.NO_VERSION_ALLOWED, "the version or its engine was withdrawn");
    }
  }

  private RouterException failure(ErrorCode code, String message) {
    return RouterException.of(code, dispatched ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN, message, null);
  }

  private Outcome attempt(Action.Start start, TextSink sink) {
    Optional<ListedInstance> backend = serving.find(start.backend());
    if (backend.isEmpty()) {
      return Outcome.of(Attempt.FAILED);
    }
    EngineCall call;
    try {
      call = open(start, backend.get().endpoint());
    } catch (CallException e) {
      dispatched |= e.mayHaveBeenSent();
      client.discardIdle(backend.get().endpoint());
      return failed();
    } catch (RouterException e) {
      dispatched = true;
      return failed();
    }
    dispatched = true;
    StreamMonitor.Watched watched = serving.monitor().watch(request.id(), call);
    try (call) {
      forward(start, call, watched, sink);
      return Outcome.of(Attempt.WHOLE);
    } catch (IOException | RouterException e) {
      return watched.movedTo().isPresent()
          ? new Outcome(Attempt.MOVED, watched.movedTo())
          : failed();
    } finally {
      serving.monitor().unwatch(watched);
    }
  }

  private EngineCall open(Action.Start start, String endpoint) {
    EngineCall.Question asked =
        new EngineCall.Question(
            start.plan().first(),
            question.messages(),
            Math.max(1, question.maxTokens() - tokens),
            true,
            request.workClass().firstTokenMillis(),
            text.toString());
    Reuse reuse = wantFresh ? Reuse.FRESH : Reuse.REUSE;
    return EngineCall.open(client, endpoint, request.id(), asked, reuse);
  }

  private Outcome failed() {
    wantFresh = true;
    serving.failed(request);
    return Outcome.of(Attempt.FAILED);
  }

  private void forward(
      Action.Start start, EngineCall call, StreamMonitor.Watched watched, TextSink sink)
      throws IOException {
    tell(() -> sink.version(start.plan().first()));
    stretchStart = serving.clock().micros();
    Optional<String> piece = call.next();
    while (piece.isPresent()) {
      if (!piece.get().isEmpty()) {
        take(piece.get(), watched, sink);
      }
      piece = call.next();
    }
  }

  private void take(String piece, StreamMonitor.Watched watched, TextSink sink) {
    long now = serving.clock().micros();
    watched.progress(now);
    tokens++;
    if (tokens == 1) {
      serving.firstToken(request, now);
      stretchStart = now;
    } else if (tokens % PACE_STRETCH_TOKENS == 0) {
      serving.pace(request, (now - stretchStart) / (double) PACE_STRETCH_TOKENS, now);
      stretchStart = now;
    }
    text.append(piece);
    tell(() -> sink.text(piece));
  }

  /** Something said to the caller. */
  private interface Telling {
    void tell() throws IOException;
  }

  private static void tell(Telling telling) {
    try {
      telling.tell();
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

  boolean dispatched() {
    return dispatched;
  }
}
