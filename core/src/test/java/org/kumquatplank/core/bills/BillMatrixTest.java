package org.kumquatplank.core.bills;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.bills.BillSimulation.Variant;

/**
 * Every request is billed exactly once across instance crashes, lost messages and log outages. For
 * each check, a faulty variant of the implementation shows that the check detects a violation.
 */
class BillMatrixTest {
  private static final long SCHEDULES = 4_000;

  @Example
  void testEveryRequestIsBilledOnce() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      assertThat(BillSimulation.runSchedule(seed, Variant.REAL)).as("seed %d", seed).isEmpty();
    }
  }

  @Example
  void testBillHeldByOneInstanceOnlyIsDetected() {
    assertThat(BillSimulation.firstFailingSeed(Variant.NO_KEEPER, SCHEDULES)).isEqualTo(0);
  }

  @Example
  void testReaderCountingDuplicatesIsDetected() {
    assertThat(BillSimulation.firstFailingSeed(Variant.READER_COUNTS_ALL, SCHEDULES)).isEqualTo(0);
  }
}
