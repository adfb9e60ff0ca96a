package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class ReaderElectionTest {
  private static final long MAX_AGE_MICROS = 2_000_000;

  @Example
  void testReadsUntilPeerWithSmallerNameConfirms() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    assertThat(election.reads(0)).isTrue();
    election.heard("a", 100_000);
    assertThat(election.reads(200_000)).isFalse();
  }

  @Example
  void testIgnoresConfirmationOfPeerWithLargerName() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    election.heard("c", 100_000);
    assertThat(election.reads(200_000)).isTrue();
  }

  @Example
  void testTakesOverAfterConfirmationExpires() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    election.heard("a", 100_000);
    // The peer still sends updates, but without a newer confirmation of the store.
    election.heard("a", 100_000);
    assertThat(election.reads(2_100_000)).isFalse();
    assertThat(election.reads(2_100_001)).isTrue();
  }

  @Example
  void testOneOfTwoRemainingInstancesTakesOver() {
    ReaderElection b = ReaderElection.create("b", MAX_AGE_MICROS);
    ReaderElection c = ReaderElection.create("c", MAX_AGE_MICROS);
    b.heard("a", 0);
    c.heard("a", 0);
    long now = 3_000_000;
    assertThat(b.reads(now)).isTrue();
    assertThat(c.reads(now)).isTrue();
    c.heard("b", now);
    b.heard("c", now);
    assertThat(b.reads(now)).isTrue();
    assertThat(c.reads(now)).isFalse();
  }
}
