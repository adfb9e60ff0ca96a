package org.kumquatplank.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Clock;
import java.time.Instant;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.jqwik.api.Example;
import org.kumquatplank.core.claims.ClaimEntry.Claimed;
import org.kumquatplank.core.claims.ClaimEntry.Settled;
import org.kumquatplank.core.log.FakeLog;
import org.kumquatplank.core.time.Sleeper;

class LogClaimStoreTest {
  private static final ClaimKey KEY = new ClaimKey("hq", "press/k1");
  private static final Outcome COMPLETED = new Outcome.Answered(201, "application/json", "{}");

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final FakeLog log = FakeLog.create(1);
  private final LogClaimStore store = newStore();

  private LogClaimStore newStore() {
    return LogClaimStore.create(log, 4, executor, Clock.systemUTC(), Sleeper.system());
  }

  private static Instant deadline() {
    return Instant.now().plusSeconds(1);
  }

  private static Claimed claim(String nonce) {
    return new Claimed(KEY, "f", nonce, "holder-" + nonce);
  }

  @Example
  void testFirstClaimWins() {
    assertThat(store.claim(claim("a"), deadline())).isEqualTo(new ClaimDecision.Granted());
    assertThat(newStore().claim(claim("b"), deadline()))
        .isEqualTo(new ClaimDecision.HeldByOther("holder-a"));
  }

  @Example
  void testOutcomeIsReplayedAtAnotherInstance() {
    store.claim(claim("a"), deadline());
    store.settle(new Settled(KEY, "f", "a", COMPLETED), deadline());
    assertThat(newStore().claim(claim("b"), deadline()))
        .isEqualTo(new ClaimDecision.AlreadyEnded(COMPLETED));
  }

  @Example
  void testOtherBodyUnderTheSameKeyIsRejected() {
    store.claim(claim("a"), deadline());
    Claimed other = new Claimed(KEY, "another", "b", "holder-b");
    assertThat(newStore().claim(other, deadline())).isEqualTo(new ClaimDecision.KeyReused());
  }

  @Example
  void testKeyIsFreeAfterNotSent() {
    store.claim(claim("a"), deadline());
    store.settle(new Settled(KEY, "f", "a", new Outcome.NotSent("no server")), deadline());
    assertThat(newStore().claim(claim("b"), deadline())).isEqualTo(new ClaimDecision.Granted());
  }

  @Example
  void testAbandonedClaimAppendedLateIsIgnored() {
    store.settle(new Settled(KEY, "f", "a", new Outcome.NotSent("abandoned")), deadline());
    log.append(
        "claims-" + KEY.partition(4), ClaimCodec.toJson(java.util.List.of(claim("a"))), deadline());
    assertThat(newStore().claim(claim("b"), deadline())).isEqualTo(new ClaimDecision.Granted());
  }

  @Example
  void testAppendWithLostResponseIsResolvedByReading() {
    log.withFaults(0, 1, 0);
    assertThat(store.claim(claim("a"), deadline())).isEqualTo(new ClaimDecision.Granted());
  }

  @Example
  void testClaimIsUnavailableWhileTheLogIsDown() {
    log.setDown(true);
    Instant deadline = Instant.now().plusMillis(50);
    assertThat(store.claim(claim("a"), deadline))
        .isInstanceOfSatisfying(
            ClaimDecision.Unavailable.class, u -> assertThat(u.neverClaimed()).isFalse());
  }

  // The answer was "unavailable", which a caller heard as "not run", though the key was held.
  @Example
  void testLateClaimOfHeldKeyTellsItsHolder() {
    store.claim(claim("a"), deadline());
    Instant passed = Instant.now().minusMillis(1);
    assertThat(newStore().claim(claim("b"), passed))
        .isEqualTo(new ClaimDecision.HeldByOther("holder-a"));
  }

  @Example
  void testLateClaimOfFreeKeyTellsThatNothingRan() {
    Instant passed = Instant.now().minusMillis(1);
    assertThat(store.claim(claim("a"), passed))
        .isInstanceOfSatisfying(
            ClaimDecision.Unavailable.class, u -> assertThat(u.neverClaimed()).isTrue());
  }

  @Example
  void testOutcomeSurvivesRetentionOfItsClaim() {
    store.claim(claim("a"), deadline());
    store.settle(new Settled(KEY, "f", "a", COMPLETED), deadline());
    log.retain("claims-" + KEY.partition(4), 1);
    assertThat(newStore().claim(claim("b"), deadline()))
        .isEqualTo(new ClaimDecision.AlreadyEnded(COMPLETED));
  }

  // The store passed over the new claim because of the old one, then forgot the old one and granted
  // the key a second time.
  @Example
  void testKeyClaimedAgainAfterRetentionHasOneHolder() {
    store.claim(claim("a"), deadline());
    store.settle(new Settled(KEY, "f", "a", COMPLETED), deadline());
    log.retain("claims-" + KEY.partition(4), 0);
    assertThat(newStore().claim(claim("b"), deadline())).isEqualTo(new ClaimDecision.Granted());
    assertThat(store.find(KEY, deadline())).isEmpty();
    assertThat(store.claim(claim("c"), deadline()))
        .isEqualTo(new ClaimDecision.HeldByOther("holder-b"));
  }

  // The store kept the nonce of every call that was not sent for as long as it ran.
  @Example
  void testAbandonedClaimIsForgottenWithItsRecord() {
    String stream = "claims-" + KEY.partition(4);
    store.settle(new Settled(KEY, "f", "a", new Outcome.NotSent("abandoned")), deadline());
    log.retain(stream, 0);
    log.append(stream, ClaimCodec.toJson(java.util.List.of(claim("a"))), deadline());
    assertThat(newStore().claim(claim("b"), deadline()))
        .isEqualTo(new ClaimDecision.HeldByOther("holder-a"));
    assertThat(store.claim(claim("b"), deadline()))
        .isEqualTo(new ClaimDecision.HeldByOther("holder-a"));
  }
}
