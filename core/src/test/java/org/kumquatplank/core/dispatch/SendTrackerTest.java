package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

class SendTrackerTest {
  private static final int MAX_SENDS = 4;

  private final SendTracker<ResponseKind> sendTracker = SendTracker.create();

  /** How one send ends. */
  private enum End {
    NOT_CONNECTED(false),
    LOST(true),
    REFUSED(false),
    /** A refusal of a cause of the request's own, which is kept. */
    REFUSED_AND_KEPT(false),
    FAILED(true),
    FALSELY_DENIED(true),
    /** A success that was dropped to ask a larger model, or that broke off. */
    DROPPED(true);

    private final boolean mayHaveRun;

    End(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }
  }

  private static void record(SendTracker<ResponseKind> tracker, End end) {
    int send = tracker.addSend();
    if (end != End.NOT_CONNECTED) {
      tracker.recordSent(send);
    }
    switch (end) {
      case NOT_CONNECTED, LOST -> {}
      case REFUSED -> tracker.recordResponse(send, ResponseKind.REFUSAL);
      case REFUSED_AND_KEPT -> respond(tracker, send, ResponseKind.REFUSAL);
      case FAILED -> respond(tracker, send, ResponseKind.FAILURE);
      case FALSELY_DENIED -> respond(tracker, send, ResponseKind.FALSE_DENIAL);
      case DROPPED -> tracker.recordResponse(send, ResponseKind.SUCCESS);
    }
  }

  private static void respond(SendTracker<ResponseKind> tracker, int send, ResponseKind kind) {
    tracker.recordResponse(send, kind);
    tracker.keep(kind, kind);
  }

  private static Optional<FailureOutcome> localOutcome(FinalResponse<ResponseKind> response) {
    return response instanceof FinalResponse.Local<ResponseKind> local
        ? Optional.of(local.outcome())
        : Optional.empty();
  }

  private static Optional<ResponseKind> forwarded(FinalResponse<ResponseKind> response) {
    return response instanceof FinalResponse.Forwarded<ResponseKind> forwarded
        ? Optional.of(forwarded.response())
        : Optional.empty();
  }

  private static boolean deniesRun(FinalResponse<ResponseKind> response) {
    return localOutcome(response).equals(Optional.of(FailureOutcome.NOT_RUN))
        || forwarded(response).filter(k -> k != ResponseKind.FAILURE).isPresent();
  }

  /** Checks the response after a sequence of ends, and after each longer one. */
  private static int checkFrom(List<End> ends) {
    for (boolean timedOut : new boolean[] {false, true}) {
      SendTracker<ResponseKind> tracker = SendTracker.create();
      ends.forEach(e -> record(tracker, e));
      boolean mayHaveRun = ends.stream().anyMatch(e -> e.mayHaveRun);
      FinalResponse<ResponseKind> response = tracker.fail(timedOut);
      assertThat(deniesRun(response)).as("%s", ends).isEqualTo(!mayHaveRun);
      assertThat(forwarded(response)).as("%s", ends).isNotEqualTo(falseDenial());
      assertThat(forwarded(response).equals(Optional.of(ResponseKind.FAILURE)))
          .as("%s", ends)
          .isEqualTo(ends.contains(End.FAILED));
      tracker.dropKept();
      FailureOutcome unknown = timedOut ? FailureOutcome.UNKNOWN_IN_TIME : FailureOutcome.UNKNOWN;
      assertThat(localOutcome(tracker.fail(timedOut)))
          .as("%s", ends)
          .contains(mayHaveRun ? unknown : FailureOutcome.NOT_RUN);
    }
    int checked = 1;
    if (ends.size() < MAX_SENDS) {
      for (End end : End.values()) {
        List<End> longer = new ArrayList<>(ends);
        longer.add(end);
        checked += checkFrom(longer);
      }
    }
    return checked;
  }

  private static Optional<ResponseKind> falseDenial() {
    return Optional.of(ResponseKind.FALSE_DENIAL);
  }

  /** Guards against a run that is denied because of the order in which sends end. */
  @Example
  void testRunIsDeniedOnlyIfNoSendMayHaveRunInAnyOrderOfEnds() {
    assertThat(checkFrom(List.of())).isEqualTo(1 + 7 + 49 + 343 + 2_401);
  }

  @Example
  void testUnsentRequestIsNotRun() {
    sendTracker.addSend();
    assertThat(localOutcome(sendTracker.fail(true))).contains(FailureOutcome.NOT_RUN);
    assertThat(sendTracker.deliveredCount()).isZero();
  }

  @Example
  void testRejectedSendIsNotRun() {
    sendTracker.recordResponse(sendTracker.addSend(), ResponseKind.REFUSAL);
    assertThat(localOutcome(sendTracker.fail(false))).contains(FailureOutcome.NOT_RUN);
  }

  @Example
  void testSendThatMayHaveRunRulesOutNotRun() {
    sendTracker.recordSent(sendTracker.addSend());
    sendTracker.recordResponse(sendTracker.addSend(), ResponseKind.REFUSAL);
    assertThat(localOutcome(sendTracker.fail(false))).contains(FailureOutcome.UNKNOWN);
    assertThat(localOutcome(sendTracker.fail(true))).contains(FailureOutcome.UNKNOWN_IN_TIME);
  }

  @Example
  void testFinalSendStateIsKept() {
    int send = sendTracker.addSend();
    sendTracker.recordResponse(send, ResponseKind.FAILURE);
    sendTracker.recordResponse(send, ResponseKind.REFUSAL);
    assertThat(sendTracker.mayHaveRun()).isTrue();
  }

  @Example
  void testOnlyASuccessSucceeds() {
    assertThat(forwarded(sendTracker.succeed(ResponseKind.SUCCESS, ResponseKind.SUCCESS)))
        .contains(ResponseKind.SUCCESS);
    assertThatThrownBy(
            () -> sendTracker.succeed(ResponseKind.FALSE_DENIAL, ResponseKind.FALSE_DENIAL))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
