package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class ReaderElectionTest {
  private static final long MAX_AGE_MICROS = 2_000_000;

  @Example
  void testReadsUntilPeerWithSmallerNameConfirms() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    assertThat(election.isReader(0)).isTrue();
    election.recordConfirmation("a", 100_000);
    assertThat(election.isReader(200_000)).isFalse();
  }

  @Example
  void testIgnoresConfirmationOfPeerWithLargerName() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    election.recordConfirmation("c", 100_000);
    assertThat(election.isReader(200_000)).isTrue();
  }

  @Example
  void testTakesOverAfterConfirmationExpires() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    election.recordConfirmation("a", 100_000);
    // The peer still sends updates, but without a newer confirmation of the store.
    election.recordConfirmation("a", 100_000);
    assertThat(election.isReader(2_100_000)).isFalse();
    assertThat(election.isReader(2_100_001)).isTrue();
  }

  @Example
  void testOneOfTwoRemainingInstancesTakesOver() {
    ReaderElection b = ReaderElection.create("b", MAX_AGE_MICROS);
    ReaderElection c = ReaderElection.create("c", MAX_AGE_MICROS);
    b.recordConfirmation("a", 0);
    c.recordConfirmation("a", 0);
    long now = 3_000_000;
    assertThat(b.isReader(now)).isTrue();
    assertThat(c.isReader(now)).isTrue();
    c.recordConfirmation("b", now);
    b.recordConfirmation("c", now);
    assertThat(b.isReader(now)).isTrue();
    assertThat(c.isReader(now)).isFalse();
  }
}
