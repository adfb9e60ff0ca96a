package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

class RelayTailTest {
  private static final long KEPT = 3_000_000;

  @Example
  void testRepeatsTheChangesOfTheLastSeconds() {
    RelayTail<String> tail = RelayTail.create(KEPT, c -> c.substring(0, 1));
    assertThat(tail.span()).isEmpty();
    tail.add(10, 20, List.of("x"), 0);
    tail.add(20, 25, List.of(), 1_000_000);
    tail.add(25, 30, List.of("y", "z"), 2_000_000);
    assertThat(tail.span()).contains(new RelayTail.Span<>(10, 30, List.of("x", "y", "z")));
    tail.add(30, 31, List.of(), 3_500_000);
    assertThat(tail.span()).contains(new RelayTail.Span<>(20, 31, List.of("y", "z")));
  }

  @Example
  void testRepeatsOnlyTheNewestChangeOfEachKey() {
    RelayTail<String> tail = RelayTail.create(KEPT, c -> c.substring(0, 1));
    tail.add(10, 13, List.of("x1", "y1", "x2"), 0);
    tail.add(13, 14, List.of("x3"), 100);
    assertThat(tail.span()).contains(new RelayTail.Span<>(10, 14, List.of("y1", "x3")));
  }

  @Example
  void testForgetsWhatLiesBeforeAGap() {
    RelayTail<String> tail = RelayTail.create(KEPT, c -> c.substring(0, 1));
    tail.add(10, 20, List.of("x"), 0);
    tail.add(40, 41, List.of("y"), 1);
    assertThat(tail.span()).contains(new RelayTail.Span<>(40, 41, List.of("y")));
  }

  @Example
  void testTellsOnlyTheNextOffsetWhenAllWasDropped() {
    RelayTail<String> tail = RelayTail.create(KEPT, c -> c.substring(0, 1));
    tail.add(10, 20, List.of("x"), 0);
    tail.dropOldest();
    assertThat(tail.span()).contains(new RelayTail.Span<>(20, 20, List.of()));
    tail.dropOldest();
    assertThat(tail.span()).contains(new RelayTail.Span<>(20, 20, List.of()));
  }
}
