package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

class ChangeBufferTest {
  private static final long RETENTION_MICROS = 3_000_000;

  @Example
  void testSpanCoversRetainedBatches() {
    ChangeBuffer<String> buffer = ChangeBuffer.create(RETENTION_MICROS, c -> c.substring(0, 1));
    assertThat(buffer.bufferedSpan()).isEmpty();
    buffer.add(TopicUpdate.of(0, 10, 20, List.of("x")), 0);
    buffer.add(TopicUpdate.of(0, 20, 25, List.of()), 1_000_000);
    buffer.add(TopicUpdate.of(0, 25, 30, List.of("y", "z")), 2_000_000);
    assertThat(buffer.bufferedSpan()).contains(TopicUpdate.of(0, 10, 30, List.of("x", "y", "z")));
    buffer.add(TopicUpdate.of(0, 30, 31, List.of()), 3_500_000);
    assertThat(buffer.bufferedSpan()).contains(TopicUpdate.of(0, 20, 31, List.of("y", "z")));
  }

  @Example
  void testSpanHoldsNewestChangeOfEachKey() {
    ChangeBuffer<String> buffer = ChangeBuffer.create(RETENTION_MICROS, c -> c.substring(0, 1));
    buffer.add(TopicUpdate.of(0, 10, 13, List.of("x1", "y1", "x2")), 0);
    buffer.add(TopicUpdate.of(0, 13, 14, List.of("x3")), 100);
    assertThat(buffer.bufferedSpan()).contains(TopicUpdate.of(0, 10, 14, List.of("y1", "x3")));
  }

  @Example
  void testGapDropsEarlierChanges() {
    ChangeBuffer<String> buffer = ChangeBuffer.create(RETENTION_MICROS, c -> c.substring(0, 1));
    buffer.add(TopicUpdate.of(0, 10, 20, List.of("x")), 0);
    buffer.add(TopicUpdate.of(0, 40, 41, List.of("y")), 1);
    assertThat(buffer.bufferedSpan()).contains(TopicUpdate.of(0, 40, 41, List.of("y")));
  }

  @Example
  void testKeepsNextOffsetAfterLastBatchIsDropped() {
    ChangeBuffer<String> buffer = ChangeBuffer.create(RETENTION_MICROS, c -> c.substring(0, 1));
    buffer.add(TopicUpdate.of(0, 10, 20, List.of("x")), 0);
    buffer.dropOldest();
    assertThat(buffer.bufferedSpan()).contains(TopicUpdate.of(0, 20, 20, List.of()));
    buffer.dropOldest();
    assertThat(buffer.bufferedSpan()).contains(TopicUpdate.of(0, 20, 20, List.of()));
  }
}
