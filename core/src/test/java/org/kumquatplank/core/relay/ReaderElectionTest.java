package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class ReaderElectionTest {
  private static final long FRESH = 2_000_000;

  @Example
  void testReadsUntilAnotherInstanceTells() {
    ReaderElection election = ReaderElection.create("b", FRESH);
    assertThat(election.reads(0)).isTrue();
    election.heard("a", 100_000);
    assertThat(election.reads(200_000)).isFalse();
  }

  @Example
  void testReadsThoughAnInstanceWithALargerNameTells() {
    ReaderElection election = ReaderElection.create("b", FRESH);
    election.heard("c", 100_000);
    assertThat(election.reads(200_000)).isTrue();
  }

  @Example
  void testReadsAgainOnceTheReaderIsSilentOrTurnedAway() {
    ReaderElection election = ReaderElection.create("b", FRESH);
    election.heard("a", 100_000);
    // It still tells, but the store confirms nothing to it any more.
    election.heard("a", 100_000);
    assertThat(election.reads(2_100_000)).isFalse();
    assertThat(election.reads(2_100_001)).isTrue();
  }

  @Example
  void testOneOfThreeReadsAfterTheFirstIsTurnedAway() {
    ReaderElection b = ReaderElection.create("b", FRESH);
    ReaderElection c = ReaderElection.create("c", FRESH);
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
