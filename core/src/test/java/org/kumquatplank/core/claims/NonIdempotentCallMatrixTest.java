package org.kumquatplank.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.claims.BookingSimulation.Variant;
import org.kumquatplank.core.claims.ClaimEntry.Claimed;
import org.kumquatplank.core.claims.ClaimEntry.Settled;

/**
 * Runs random schedules with faults at every step of a booking. For each check, a faulty variant of
 * the implementation shows that the check detects a violation.
 */
class NonIdempotentCallMatrixTest {
  private static final long SCHEDULES = 4_000;

  private static final Variant REAL = new Variant() {};

  /** Transfers a claim to the next caller after 30 s without an outcome. */
  private static final Variant RECLAIM_AFTER_30_S =
      new Variant() {
        @Override
        public ClaimStore claims(BookingSimulation simulation, ClaimStore real) {
          return new ReclaimingStore(simulation, real);
        }
      };

  /** Treats a lost response as a call that did not run. */
  private static final Variant TIMEOUT_MEANS_NOT_RUN =
      new Variant() {
        @Override
        public Outcome dispatched(Outcome real) {
          return real instanceof Outcome.Lost ? new Outcome.NotSent("timed out") : real;
        }
      };

  /** Dispatches without a claim and writes to the log only with the settlement. */
  private static final Variant CLAIM_AFTER_DISPATCH =
      new Variant() {
        @Override
        public ClaimStore claims(BookingSimulation simulation, ClaimStore real) {
          return new NonClaimingStore(real);
        }
      };

  @Example
  void testNoBookingRunsTwiceAndNotRunIsNeverFalse() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      assertThat(BookingSimulation.runSchedule(seed, REAL)).as("seed %d", seed).isEmpty();
    }
  }

  @Example
  void testSchedulesProduceAnsweredAndUnknownOutcomes() {
    int answered = 0;
    int unknown = 0;
    for (long seed = 0; seed < 200; seed++) {
      BookingSimulation simulation = new BookingSimulation(seed, REAL);
      for (int i = 0; i < 12; i++) {
        simulation.submitAtRandomInstance();
      }
      for (BookingSimulation.Submission s : simulation.submissions) {
        answered += s.response.isPresent() ? 1 : 0;
        unknown +=
            s.reportedStatus.equals(
                    Optional.of(org.kumquatplank.core.error.ExecutionStatus.UNKNOWN))
                ? 1
                : 0;
      }
    }
    assertThat(answered).isGreaterThan(200);
    assertThat(unknown).isGreaterThan(50);
  }

  @Example
  void testReclaimAfterThirtySecondsIsDetected() {
    assertThat(BookingSimulation.firstFailingSeed(RECLAIM_AFTER_30_S, SCHEDULES)).isEqualTo(0);
  }

  @Example
  void testTimeoutMeaningNotRunIsDetected() {
    assertThat(BookingSimulation.firstFailingSeed(TIMEOUT_MEANS_NOT_RUN, SCHEDULES)).isEqualTo(2);
  }

  @Example
  void testClaimAfterDispatchIsDetected() {
    assertThat(BookingSimulation.firstFailingSeed(CLAIM_AFTER_DISPATCH, SCHEDULES)).isEqualTo(0);
  }

  /**
   * Grants a claim that has been held for longer than a time-out, as the article "Idempotency Keys:
   * Architecting Exactly-Once Writes" proposes for records that stay in processing.
   */
  private static final class ReclaimingStore implements ClaimStore {
    private static final Duration RECLAIM_TIMEOUT = Duration.ofSeconds(30);
    private static final Map<BookingSimulation, Map<ClaimKey, Instant>> CLAIMED_AT =
        new HashMap<>();

    private final BookingSimulation simulation;
    private final ClaimStore real;

    ReclaimingStore(BookingSimulation simulation, ClaimStore real) {
      this.simulation = simulation;
      this.real = real;
    }

    @Override
    public ClaimDecision claim(Claimed claim, Instant deadline) {
      ClaimDecision decision = real.claim(claim, deadline);
      Map<ClaimKey, Instant> claimedAt =
          CLAIMED_AT.computeIfAbsent(simulation, key -> new HashMap<>());
      Instant now = simulation.time.instant();
      if (decision instanceof ClaimDecision.Granted) {
        claimedAt.put(claim.key(), now);
      }
      boolean expired =
          decision instanceof ClaimDecision.HeldByOther
              && claimedAt.containsKey(claim.key())
              && claimedAt.get(claim.key()).plus(RECLAIM_TIMEOUT).isBefore(now);
      return expired ? new ClaimDecision.Granted() : decision;
    }

    @Override
    public boolean settle(Settled settled, Instant deadline) {
      return real.settle(settled, deadline);
    }

    @Override
    public Optional<Outcome> find(ClaimKey key, Instant deadline) {
      return real.find(key, deadline);
    }
  }

  /** Checks whether the call has ended, but does not claim its key before the dispatch. */
  private static final class NonClaimingStore implements ClaimStore {
    private final ClaimStore real;

    NonClaimingStore(ClaimStore real) {
      this.real = real;
    }

    @Override
    public ClaimDecision claim(Claimed claim, Instant deadline) {
      return real.find(claim.key(), deadline)
          .<ClaimDecision>map(ClaimDecision.AlreadyEnded::new)
          .orElse(new ClaimDecision.Granted());
    }

    @Override
    public boolean settle(Settled settled, Instant deadline) {
      return real.settle(settled, deadline);
    }

    @Override
    public Optional<Outcome> find(ClaimKey key, Instant deadline) {
      return real.find(key, deadline);
    }
  }
}
