package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.dispatch.SendTracker.Verdict;

class SendTrackerTest {
  private final SendTracker sendTracker = SendTracker.create();

  @Example
  void testUnsentRequestIsNotRun() {
    sendTracker.open();
    assertThat(sendTracker.verdict(true)).isEqualTo(Verdict.NOT_RUN);
    assertThat(sendTracker.deliveredCount()).isZero();
  }

  @Example
  void testRejectedSendIsNotRun() {
    sendTracker.set(sendTracker.open(), SendState.NOT_RUN);
    assertThat(sendTracker.verdict(false)).isEqualTo(Verdict.NOT_RUN);
  }

  @Example
  void testSendThatMayHaveRunRulesOutNotRun() {
    sendTracker.set(sendTracker.open(), SendState.MAY_HAVE_RUN);
    sendTracker.set(sendTracker.open(), SendState.NOT_RUN);
    assertThat(sendTracker.verdict(false)).isEqualTo(Verdict.UNKNOWN);
    assertThat(sendTracker.verdict(true)).isEqualTo(Verdict.UNKNOWN_IN_TIME);
  }

  @Example
  void testFinalSendStateIsKept() {
    int send = sendTracker.open();
    sendTracker.set(send, SendState.RAN);
    sendTracker.set(send, SendState.NOT_RUN);
    assertThat(sendTracker.mayHaveRun()).isTrue();
  }
}
