package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class ReadingDutyTest {
  private static final long FRESH = 2_000_000;

  @Example
  void testReadsUntilAnotherInstanceTells() {
    ReadingDuty duty = ReadingDuty.create("b", FRESH);
    assertThat(duty.reads(0)).isTrue();
    duty.heard("a", 100_000);
    assertThat(duty.reads(200_000)).isFalse();
  }

  @Example
  void testReadsThoughAnInstanceWithALargerNameTells() {
    ReadingDuty duty = ReadingDuty.create("b", FRESH);
    duty.heard("c", 100_000);
    assertThat(duty.reads(200_000)).isTrue();
  }

  @Example
  void testReadsAgainOnceTheReaderIsSilentOrTurnedAway() {
    ReadingDuty duty = ReadingDuty.create("b", FRESH);
    duty.heard("a", 100_000);
    // It still tells, but the store confirms nothing to it any more.
    duty.heard("a", 100_000);
    assertThat(duty.reads(2_100_000)).isFalse();
    assertThat(duty.reads(2_100_001)).isTrue();
  }

  @Example
  void testOneOfThreeReadsAfterTheFirstIsTurnedAway() {
    ReadingDuty b = ReadingDuty.create("b", FRESH);
    ReadingDuty c = ReadingDuty.create("c", FRESH);
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
