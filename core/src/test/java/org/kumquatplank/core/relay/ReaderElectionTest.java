package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
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

  @Example
  void testOwnListingIsCurrentWhilePeerWithSmallerNameLives() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    election.recordRead(100_000);
    election.setLivePeers(List.of("a", "c"));
    assertThat(election.isReader(200_000)).isFalse();
    assertThat(election.isReader(2_100_000)).isFalse();
    assertThat(election.isReader(2_100_001)).isTrue();
  }

  @Example
  void testDoesNotAwaitPeerWithLargerName() {
    ReaderElection election = ReaderElection.create("b", MAX_AGE_MICROS);
    election.recordRead(100_000);
    election.setLivePeers(List.of("c"));
    assertThat(election.isReader(200_000)).isTrue();
  }

  @Example
  void testInstancesTakeOverOneAfterTheOtherByName() {
    List<String> names = IntStream.range(100, 490).mapToObj(n -> "i" + n).toList();
    assertThat(readersAt(2_000_001, names)).isEqualTo(2);
    assertThat(readersAt(2_100_001, names)).isEqualTo(3);
    assertThat(readersAt(2_400_001, names)).isEqualTo(390);
  }

  private static long readersAt(long now, List<String> names) {
    return names.stream()
        .filter(
            self -> {
              ReaderElection election = ReaderElection.create(self, MAX_AGE_MICROS);
              election.recordRead(0);
              election.setLivePeers(names);
              return election.isReader(now);
            })
        .count();
  }

  @Example
  void testReaderGoesOnWhilePeersWithSmallerNamesLive() {
    ReaderElection election = ReaderElection.create("c", MAX_AGE_MICROS);
    election.setLivePeers(List.of("a", "b"));
    assertThat(election.isReader(1)).isTrue();
    election.recordRead(2);
    assertThat(election.isReader(3)).isTrue();
    election.recordConfirmation("a", 4);
    assertThat(election.isReader(5)).isFalse();
  }

  @Example
  void testStopsReadingWhenPeersWithSmallerNamesAppear() {
    ReaderElection election = ReaderElection.create("c", MAX_AGE_MICROS);
    election.recordRead(0);
    assertThat(election.isReader(1)).isTrue();
    election.setLivePeers(List.of("a"));
    assertThat(election.isReader(2)).isFalse();
  }
}
