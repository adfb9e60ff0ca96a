package org.kumquatplank.core.bills;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.bills.BillSimulation.Variant;

/** Bills across deaths of instances, cuts and outages of the log; with partners that fail. */
class BillMatrixTest {
  private static final long SCHEDULES = 4_000;

  @Example
  void testEveryRequestIsBilledOnce() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      assertThat(BillSimulation.play(seed, Variant.REAL)).as("seed %d", seed).isEmpty();
    }
  }

  @Example
  void testHoldingTheBillAloneIsCaught() {
    assertThat(BillSimulation.firstBadSeed(Variant.NO_KEEPER, SCHEDULES)).isEqualTo(0);
  }

  @Example
  void testReaderThatCountsAllIsCaught() {
    assertThat(BillSimulation.firstBadSeed(Variant.READER_COUNTS_ALL, SCHEDULES)).isEqualTo(0);
  }
}
