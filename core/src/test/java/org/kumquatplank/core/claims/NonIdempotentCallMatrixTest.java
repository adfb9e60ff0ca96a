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

/** Every fault at every step of a booking; each check has a partner that fails. */
class NonIdempotentCallMatrixTest {
  private static final long SCHEDULES = 4_000;

  private static final Variant REAL = new Variant() {};

  /**
   * Gives the key to the next caller after 30 s without an outcome, as the given paper suggests.
   */
  private static final Variant RECLAIM_AFTER_30_S =
      new Variant() {
        @Override
        public ClaimStore claims(BookingSimulation simulation, ClaimStore real) {
          return new Reclaiming(simulation, real);
        }
      };

  /** Takes a lost answer to mean that the call did not run. */
  private static final Variant TIMEOUT_MEANS_NOT_RUN =
      new Variant() {
        @Override
        public Outcome dispatched(Outcome real) {
          return real instanceof Outcome.Lost ? new Outcome.NotSent("timed out") : real;
        }
      };

  /** Dispatches without asking and claims only with the settlement. */
  private static final Variant CLAIM_AFTER_DISPATCH =
      new Variant() {
        @Override
        public ClaimStore claims(BookingSimulation simulation, ClaimStore real) {
          return new Unclaimed(real);
        }
      };

  @Example
  void testNoBookingRunsTwiceAndNoRefusalIsFalse() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      assertThat(BookingSimulation.play(seed, REAL)).as("seed %d", seed).isEmpty();
    }
  }

  @Example
  void testSchedulesReachBothEndsOfEveryBooking() {
    int answered = 0;
    int unknown = 0;
    for (long seed = 0; seed < 200; seed++) {
      BookingSimulation simulation = new BookingSimulation(seed, REAL);
      for (int i = 0; i < 12; i++) {
        simulation.submitSomewhere();
      }
      for (BookingSimulation.Submission s : simulation.submissions) {
        answered += s.answer.isPresent() ? 1 : 0;
        unknown += s.heard.equals(Optional.of(org.kumquatplank.core.error.ExecutionStatus.UNKNOWN)) ? 1 : 0;
      }
    }
    assertThat(answered).isGreaterThan(200);
    assertThat(unknown).isGreaterThan(50);
  }

  @Example
  void testReclaimAfterThirtySecondsIsCaught() {
    assertThat(BookingSimulation.firstBadSeed(RECLAIM_AFTER_30_S, SCHEDULES)).isEqualTo(0);
  }

  @Example
  void testTimeoutMeaningNotRunIsCaught() {
    assertThat(BookingSimulation.firstBadSeed(TIMEOUT_MEANS_NOT_RUN, SCHEDULES)).isEqualTo(2);
  }

  @Example
  void testClaimAfterDispatchIsCaught() {
    assertThat(BookingSimulation.firstBadSeed(CLAIM_AFTER_DISPATCH, SCHEDULES)).isEqualTo(0);
  }

  /** The paper's time-out for records that stay in processing. */
  private static final class Reclaiming implements ClaimStore {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Map<BookingSimulation, Map<ClaimKey, Instant>> HELD_SINCE = new HashMap<>();

    private final BookingSimulation simulation;
    private final ClaimStore real;

    Reclaiming(BookingSimulation simulation, ClaimStore real) {
      this.simulation = simulation;
      this.real = real;
    }

    @Override
    public ClaimDecision claim(Claimed claim, Instant deadline) {
      ClaimDecision decision = real.claim(claim, deadline);
      Map<ClaimKey, Instant> since = HELD_SINCE.computeIfAbsent(simulation, w -> new HashMap<>());
      Instant now = simulation.time.instant();
      if (decision instanceof ClaimDecision.Won) {
        since.put(claim.key(), now);
      }
      boolean stuck =
          decision instanceof ClaimDecision.Held
              && since.containsKey(claim.key())
              && since.get(claim.key()).plus(PATIENCE).isBefore(now);
      return stuck ? new ClaimDecision.Won() : decision;
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

  /** Looks whether the key has ended, but does not hold it before the dispatch. */
  private static final class Unclaimed implements ClaimStore {
    private final ClaimStore real;

    Unclaimed(ClaimStore real) {
      this.real = real;
    }

    @Override
    public ClaimDecision claim(Claimed claim, Instant deadline) {
      return real.find(claim.key(), deadline)
          .<ClaimDecision>map(ClaimDecision.Ended::new)
          .orElse(new ClaimDecision.Won());
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
