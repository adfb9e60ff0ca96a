package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;

class FreshnessTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final AtomicLong now = new AtomicLong();
  private final Freshness freshness = Freshness.create(now::get);

  FreshnessTest() {
    freshness.setListed(Set.of("b", "c"));
  }

  @Example
  void testNotFreshBeforeFirstConfirmation() {
    assertThat(freshness.isFresh()).isFalse();
  }

  @Example
  void testLogConfirmationExpiresAfterThreeSeconds() {
    freshness.confirmByLog(0);
    now.set(3 * SECOND_NANOS - 1);
    assertThat(freshness.isFresh()).isTrue();
    now.set(3 * SECOND_NANOS);
    assertThat(freshness.isFresh()).isFalse();
  }

  @Example
  void testPausedInstanceIsStaleWhenItResumes() {
    freshness.confirmByLog(0);
    now.set(60 * SECOND_NANOS);
    assertThat(freshness.isFresh()).isFalse();
  }

  @Example
  void testPeerConfirmationExpiresFromTheTimeItWasMade() {
    now.set(5 * SECOND_NANOS);
    freshness.recordPeerReport("b", 5 * SECOND_NANOS, SECOND_NANOS, true, true);
    now.set(7 * SECOND_NANOS - 1);
    assertThat(freshness.isFresh()).isTrue();
    now.set(7 * SECOND_NANOS);
    assertThat(freshness.isFresh()).isFalse();
  }

  @Example
  void testConfirmationOfPeerThatIsAheadIsIgnored() {
    freshness.recordPeerReport("b", 0, 0, true, false);
    assertThat(freshness.isFresh()).isFalse();
  }

  @Example
  void testNotFreshOnceANewerVersionIsKnown() {
    freshness.confirmByLog(0);
    freshness.observeVersion(7);
    assertThat(freshness.isFresh()).isFalse();
    freshness.setOwnVersion(7);
    assertThat(freshness.isFresh()).isTrue();
  }

  @Example
  void testFreshWhileMajorityCannotReachLog() {
    freshness.confirmByLog(0);
    freshness.recordLogFailure();
    now.set(10 * SECOND_NANOS);
    assertThat(freshness.isFresh()).isFalse();
    freshness.recordPeerReport("b", 10 * SECOND_NANOS, -1, false, true);
    assertThat(freshness.isFresh()).isTrue();
  }

  @Example
  void testNotFreshWhenAPeerCanReachLog() {
    freshness.confirmByLog(0);
    freshness.recordLogFailure();
    now.set(10 * SECOND_NANOS);
    freshness.recordPeerReport("b", 10 * SECOND_NANOS, -1, false, true);
    freshness.recordPeerReport("c", 10 * SECOND_NANOS, 5 * SECOND_NANOS, true, false);
    assertThat(freshness.isFresh()).isFalse();
  }
}
