package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.Example;

class LogPositionTest {
  @Example
  void testPositionsOfDifferentErasAreNeverBeforeEachOther() {
    assertThat(LogPosition.of(1, 3).isBefore(LogPosition.of(1, 4))).isTrue();
    assertThat(LogPosition.of(1, 3).isBefore(LogPosition.of(2, 4))).isFalse();
    assertThat(LogPosition.of(2, 3).isBefore(LogPosition.of(1, 4))).isFalse();
  }

  @Example
  void testLaterEraSupersedesAPositionWhateverItsOffset() {
    assertThat(LogPosition.of(1, 9).isSupersededBy(LogPosition.of(2, 0))).isTrue();
    assertThat(LogPosition.of(2, 0).isSupersededBy(LogPosition.of(1, 9))).isFalse();
  }

  @Example
  void testEqualOffsetsDenoteTheSameRecordIfOneWriterDoesNotKnowOfEras() {
    assertThat(LogPosition.of(0, 7).denotesSameAs(LogPosition.of(3, 7))).isTrue();
    assertThat(LogPosition.of(2, 7).denotesSameAs(LogPosition.of(3, 7))).isFalse();
  }

  @Example
  void testRangeOverTwoErasIsRejected() {
    LogPosition from = LogPosition.of(1, 2);
    LogPosition next = LogPosition.of(2, 3);
    assertThatThrownBy(() -> new TopicUpdate<>(from, next, List.of()))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
