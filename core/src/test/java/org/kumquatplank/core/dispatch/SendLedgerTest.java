package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.dispatch.SendLedger.Verdict;

class SendLedgerTest {
  private final SendLedger ledger = SendLedger.create();

  @Example
  void testNothingSentIsNotRun() {
    ledger.open();
    assertThat(ledger.verdict(true)).isEqualTo(Verdict.NOT_RUN);
    assertThat(ledger.arrived()).isZero();
  }

  @Example
  void testRefusedUnrunIsNotRun() {
    ledger.set(ledger.open(), SendState.NOT_RUN);
    assertThat(ledger.verdict(false)).isEqualTo(Verdict.NOT_RUN);
  }

  @Example
  void testOneSendThatMayHaveRunIsEnoughToForbidARefusal() {
    ledger.set(ledger.open(), SendState.MAY_HAVE_RUN);
    ledger.set(ledger.open(), SendState.NOT_RUN);
    assertThat(ledger.verdict(false)).isEqualTo(Verdict.UNKNOWN);
    assertThat(ledger.verdict(true)).isEqualTo(Verdict.UNKNOWN_IN_TIME);
  }

  @Example
  void testWhatIsKnownIsNotUnlearned() {
    int send = ledger.open();
    ledger.set(send, SendState.RAN);
    ledger.set(send, SendState.NOT_RUN);
    assertThat(ledger.mayHaveRun()).isTrue();
  }
}
