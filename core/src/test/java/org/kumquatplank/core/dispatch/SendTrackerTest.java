package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.dispatch.SendTracker.FailureOutcome;

class SendTrackerTest {
  private final SendTracker sendTracker = SendTracker.create();

  @Example
  void testUnsentRequestIsNotRun() {
    sendTracker.addSend();
    assertThat(sendTracker.failureOutcome(true)).isEqualTo(FailureOutcome.NOT_RUN);
    assertThat(sendTracker.deliveredCount()).isZero();
  }

  @Example
  void testRejectedSendIsNotRun() {
    sendTracker.setState(sendTracker.addSend(), SendState.NOT_RUN);
    assertThat(sendTracker.failureOutcome(false)).isEqualTo(FailureOutcome.NOT_RUN);
  }

  @Example
  void testSendThatMayHaveRunRulesOutNotRun() {
    sendTracker.setState(sendTracker.addSend(), SendState.MAY_HAVE_RUN);
    sendTracker.setState(sendTracker.addSend(), SendState.NOT_RUN);
    assertThat(sendTracker.failureOutcome(false)).isEqualTo(FailureOutcome.UNKNOWN);
    assertThat(sendTracker.failureOutcome(true)).isEqualTo(FailureOutcome.UNKNOWN_IN_TIME);
  }

  @Example
  void testFinalSendStateIsKept() {
    int send = sendTracker.addSend();
    sendTracker.setState(send, SendState.RAN);
    sendTracker.setState(send, SendState.NOT_RUN);
    assertThat(sendTracker.mayHaveRun()).isTrue();
  }
}
