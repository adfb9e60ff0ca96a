package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Tracks all sends of one request, with the responses that are kept in case no retry gives a better
 * one, and derives the response to its caller.
 *
 * <p>Only this class may decide that a request has not run, and only while no send may have run.
 * Not thread-safe.
 *
 * @param <R> type of the responses of backend servers
 */
public final class SendTracker<R> {
  private final List<SendState> sends = new ArrayList<>();
  private Optional<R> failure = Optional.empty();
  private Optional<R> refusal = Optional.empty();

  private SendTracker() {}

  /** Returns a tracker without sends. */
  public static <R> SendTracker<R> create() {
    return new SendTracker<>();
  }

  /** Adds a send in state {@link SendState#NOT_SENT} and returns its index. */
  public int addSend() {
    sends.add(SendState.NOT_SENT);
    return sends.size() - 1;
  }

  /** Records that bytes of the request may have left this process. */
  public void recordSent(int send) {
    setState(send, SendState.MAY_HAVE_RUN);
  }

  /** Records the head of the response to a send; the first one is final. */
  public void recordResponse(int send, ResponseKind kind) {
    setState(send, kind == ResponseKind.REFUSAL ? SendState.NOT_RUN : SendState.RAN);
  }

  private void setState(int send, SendState state) {
    SendState current = sends.get(send);
    if (current != SendState.RAN && current != SendState.NOT_RUN) {
      sends.set(send, state);
    }
  }

  /** Keeps an unsuccessful response; one that denies a run falsely is dropped. */
  public void keep(ResponseKind kind, R response) {
    switch (kind) {
      case FAILURE -> failure = Optional.of(response);
      case REFUSAL -> refusal = Optional.of(response);
      case FALSE_DENIAL -> {}
      case SUCCESS -> throw new IllegalArgumentException("a success ends the request");
    }
  }

  /** Returns the responses that are kept. */
  public Stream<R> kept() {
    return Stream.concat(failure.stream(), refusal.stream());
  }

  /** Drops the responses that are kept, to free their memory. */
  public void dropKept() {
    failure = Optional.empty();
    refusal = Optional.empty();
  }

  /** Returns whether any send may have run. */
  public boolean mayHaveRun() {
    return sends.contains(SendState.MAY_HAVE_RUN) || sends.contains(SendState.RAN);
  }

  /** Returns the number of sends that reached, or may have reached, a backend server. */
  public int deliveredCount() {
    return (int) sends.stream().filter(s -> s != SendState.NOT_SENT).count();
  }

  /**
   * Returns the end of the request by a success.
   *
   * @throws IllegalArgumentException if the response is no success
   */
  public FinalResponse<R> succeed(ResponseKind kind, R response) {
    if (kind != ResponseKind.SUCCESS) {
      throw new IllegalArgumentException("not a success: " + kind);
    }
    return new FinalResponse.Forwarded<>(response);
  }

  /**
   * Returns the end of the request without a success: a kept response or, without one that is true,
   * an error of this router.
   *
   * @param timedOut whether the deadline passed, as opposed to a failed send
   */
  public FinalResponse<R> fail(boolean timedOut) {
    Optional<R> kept = failure.or(() -> refusal.filter(r -> !mayHaveRun()));
    if (kept.isPresent()) {
      return new FinalResponse.Forwarded<>(kept.get());
    }
    return new FinalResponse.Local<>(failureOutcome(timedOut));
  }

  private FailureOutcome failureOutcome(boolean timedOut) {
    if (!mayHaveRun()) {
      return FailureOutcome.NOT_RUN;
    }
    return timedOut ? FailureOutcome.UNKNOWN_IN_TIME : FailureOutcome.UNKNOWN;
  }
}
