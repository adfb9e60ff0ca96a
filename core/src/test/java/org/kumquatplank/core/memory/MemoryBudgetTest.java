package org.kumquatplank.core.memory;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class MemoryBudgetTest {
  private static final long MEGABYTE = 1024 * 1024;
  private static final long SMALL = 4_096;

  private final MemoryBudget budget = MemoryBudget.of(48 * MEGABYTE, 430 * MEGABYTE);

  @Example
  void testLimitIsAThirdOfTheHeap() {
    assertThat(budget.limitBytes()).isEqualTo(16 * MEGABYTE);
  }

  @Example
  void testResponsesHaveALimitOfTheirOwn() {
    MemoryBudget large = MemoryBudget.of(1_024 * MEGABYTE, Long.MAX_VALUE);
    assertThat(large.responseLimitBytes()).isEqualTo(16 * MEGABYTE);
  }

  @Example
  void testLimitIsAnEighthOfASmallMachine() {
    assertThat(MemoryBudget.of(48 * MEGABYTE, 80 * MEGABYTE).limitBytes()).isEqualTo(10 * MEGABYTE);
  }

  @Example
  void testLargestRequestDoesNotWaitInCalm() {
    budget.add(4 * MEGABYTE);
    assertThat(budget.mustWait(4 * MEGABYTE)).isFalse();
  }

  @Example
  void testLargeRequestsWaitAboveHalfOfTheLimitAndSmallOnesDoNot() {
    budget.add(9 * MEGABYTE);
    assertThat(budget.mustWait(MEGABYTE)).isTrue();
    assertThat(budget.mustWait(SMALL)).isFalse();
    assertThat(budget.isExceeded()).isFalse();
  }

  @Example
  void testNothingWaitsAfterTheBytesAreGone() {
    budget.add(17 * MEGABYTE);
    assertThat(budget.isExceeded()).isTrue();
    budget.add(-17 * MEGABYTE);
    assertThat(budget.isExceeded()).isFalse();
    assertThat(budget.mustWait(MEGABYTE)).isFalse();
  }

  @Example
  void testConnectionsLeaveSocketsToTheOthers() {
    assertThat(ConnectionLimit.of(4_100)).isEqualTo(2_435);
    assertThat(ConnectionLimit.of(320)).isEqualTo(75);
    assertThat(ConnectionLimit.of(100)).isEqualTo(40);
    assertThat(ConnectionLimit.ofAuxiliary(320)).isEqualTo(15);
    assertThat(ConnectionLimit.of(Integer.MAX_VALUE)).isEqualTo(Integer.MAX_VALUE);
  }
}
