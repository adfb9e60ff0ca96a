package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.link.proto.EdgeDigest;

class StalenessMonitorTest {
  private static final long SECOND = 1_000_000;

  private final StalenessMonitor monitor = new StalenessMonitor(new EdgeMetrics());

  private static EdgeDigest digest(long version, long offset) {
    return EdgeDigest.newBuilder()
        .setInstance("a")
        .setCatalogVersion(version)
        .setOperatorOffset(offset)
        .build();
  }

  @Example
  void testNamesThePeerThatHasHadANewerConfigurationForAWhile() {
    monitor.onDigest(digest(40, 9), 33, SECOND);
    assertThat(monitor.takeCatchUpPosition(33, SECOND + 100_000)).isEmpty();
    assertThat(monitor.takeCatchUpPosition(33, 2 * SECOND)).contains(LogPosition.of(0, 9));
  }

  @Example
  void testNamesNoPeerOnceTheConfigurationHasArrived() {
    monitor.onDigest(digest(40, 9), 33, SECOND);
    assertThat(monitor.takeCatchUpPosition(40, 2 * SECOND)).isEmpty();
    monitor.onDigest(digest(38, 8), 40, 3 * SECOND);
    assertThat(monitor.takeCatchUpPosition(40, 4 * SECOND)).isEmpty();
  }

  /** An instance that can't read the newer configuration would list the topic without end. */
  @Example
  void testAsksToCatchUpOnceInTwoSeconds() {
    monitor.onDigest(digest(40, 9), 33, 0);
    assertThat(monitor.takeCatchUpPosition(33, SECOND)).isPresent();
    assertThat(monitor.takeCatchUpPosition(33, 2 * SECOND)).isEmpty();
    assertThat(monitor.takeCatchUpPosition(33, 3 * SECOND)).isPresent();
  }

  /** A version that is never reached here must not make this instance list for ever. */
  @Example
  void testForgetsAVersionThatNoPeerNamesAnyMore() {
    monitor.onDigest(digest(99, 3), 33, SECOND);
    monitor.onDigest(digest(33, 9), 33, 600 * SECOND);
    assertThat(monitor.takeCatchUpPosition(33, 600 * SECOND)).isEmpty();
  }

  @Example
  void testEachNewVersionHasItsOwnTimeToArrive() {
    monitor.onDigest(digest(40, 9), 33, SECOND);
    monitor.onDigest(digest(41, 10), 40, SECOND + 290_000);
    assertThat(monitor.takeCatchUpPosition(40, SECOND + 450_000)).isEmpty();
  }
}
