package org.kumquatplank.core.claims;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.kumquatplank.core.claims.ClaimEntry.Claimed;
import org.kumquatplank.core.claims.ClaimEntry.Settled;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.time.Deadlines;
import org.kumquatplank.core.time.Sleeper;

/**
 * Runs each call at most once: claims its key, dispatches it, records the outcome and returns it.
 *
 * <p>Thread-safe. A claim whose call may have been dispatched is never transferred to another
 * holder, not even after a time-out. The caller receives an error that states that the outcome is
 * unknown instead.
 */
public final class NonIdempotentCallExecutor {
  private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final ClaimStore claims;
  private final Dispatcher dispatcher;
  private final Predicate<String> holderIsLive;
  private final Supplier<String> nonces;
  private final String holder;
  private final Clock clock;
  private final Sleeper sleeper;
  private final Queue<Settled> pendingSettlements = new ConcurrentLinkedQueue<>();

  private NonIdempotentCallExecutor(
      ClaimStore claims,
      Dispatcher dispatcher,
      Predicate<String> holderIsLive,
      Supplier<String> nonces,
      String holder,
      Clock clock,
      Sleeper sleeper) {
    this.claims = claims;
    this.dispatcher = dispatcher;
    this.holderIsLive = holderIsLive;
    this.nonces = nonces;
    this.holder = holder;
    this.clock = clock;
    this.sleeper = sleeper;
  }

  /** Sends a call to a backend server, once. */
  @FunctionalInterface
  public interface Dispatcher {
    /** Sends the call at most once and returns its outcome. */
    Outcome dispatch(NonIdempotentCall call);
  }

  /**
   * Returns an executor.
   *
   * @param holderIsLive returns whether the process with the given identity is believed to run
   * @param nonces supplies unique identifiers for claims
   * @param holder identity of this process
   */
  public static NonIdempotentCallExecutor create(
      ClaimStore claims,
      Dispatcher dispatcher,
      Predicate<String> holderIsLive,
      Supplier<String> nonces,
      String holder,
      Clock clock,
      Sleeper sleeper) {
    return new NonIdempotentCallExecutor(
        claims, dispatcher, holderIsLive, nonces, holder, clock, sleeper);
  }

  /**
   * Runs the call, or returns the recorded response if it ran before.
   *
   * @throws RouterException if there is no response; its status states whether the call ran
   */
  public Outcome.Answered run(NonIdempotentCall call) {
    Claimed claim = new Claimed(call.key(), call.fingerprint(), nonces.get(), holder);
    boolean wasHeld = false;
    while (true) {
      Instant claimDeadline =
          Deadlines.earlier(call.deadline(), clock.instant().plus(CLAIM_TIMEOUT));
      switch (claims.claim(claim, claimDeadline)) {
        case ClaimDecision.Granted() -> {
          return dispatch(call, claim);
        }
        case ClaimDecision.AlreadyEnded(Outcome outcome) -> {
          return answeredOrThrow(outcome);
        }
        case ClaimDecision.HeldByOther(String otherHolder) -> {
          wasHeld = true;
          awaitHolder(call, otherHolder);
        }
        case ClaimDecision.KeyReused() ->
            throw RouterException.notRun(
                ErrorCode.KEY_REUSED, "the idempotency key was used for another call");
        case ClaimDecision.Unavailable(String reason, boolean neverClaimed) ->
            throw abandon(claim, reason, neverClaimed && !wasHeld);
      }
    }
  }

  /** Gives up a claim; an earlier submission under the key may have run unless that is excluded. */
  private RouterException abandon(Claimed claim, String reason, boolean neverClaimed) {
    pendingSettlements.add(settlement(claim, new Outcome.NotSent("claim abandoned")));
    Instant retryAt = clock.instant().plus(RETRY_AFTER);
    String message = "the call could not be made safe against running twice: " + reason;
    ExecutionStatus ran = neverClaimed ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN;
    return RouterException.retryLater(ErrorCode.LOG_UNAVAILABLE, ran, retryAt, message);
  }

  private Outcome.Answered dispatch(NonIdempotentCall call, Claimed claim) {
    Outcome outcome = sendOnce(call);
    Settled settled = settlement(claim, outcome);
    if (!claims.settle(settled, clock.instant().plus(SETTLE_TIMEOUT))) {
      pendingSettlements.add(settled);
    }
    return answeredOrThrow(outcome);
  }

  private Outcome sendOnce(NonIdempotentCall call) {
    if (!clock.instant().isBefore(call.deadline())) {
      return new Outcome.NotSent("the deadline passed before dispatch");
    }
    try {
      return dispatcher.dispatch(call);
    } catch (RuntimeException e) {
      return new Outcome.Lost("dispatch failed: " + e.getMessage());
    }
  }

  private static Settled settlement(Claimed claim, Outcome outcome) {
    return new Settled(claim.key(), claim.fingerprint(), claim.nonce(), outcome);
  }

  /**
   * Waits at most one poll interval for the holder of the key; the caller then claims again.
   * Afterwards the call may have ended, or the key may be free again or still be held.
   *
   * @throws RouterException if the holder no longer runs, or if the deadline has passed
   */
  private void awaitHolder(NonIdempotentCall call, String otherHolder) {
    Optional<Outcome> outcome = claims.find(call.key(), call.deadline());
    if (outcome.isPresent()) {
      return;
    }
    if (!holderIsLive.test(otherHolder)) {
      throw RouterException.unknown(
          ErrorCode.OUTCOME_UNKNOWN,
          "an earlier submission may have run; its instance is gone and left no outcome");
    }
    boolean waited = sleeper.sleep(POLL_INTERVAL);
    if (!waited || !clock.instant().isBefore(call.deadline())) {
      throw RouterException.unknown(
          ErrorCode.IN_PROGRESS, "an earlier submission under this key has not ended yet");
    }
  }

  private static Outcome.Answered answeredOrThrow(Outcome outcome) {
    return switch (outcome) {
      case Outcome.Answered answered -> answered;
      case Outcome.Lost(String reason) ->
          throw RouterException.of(
              ErrorCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, reason, null);
      case Outcome.NotSent(String reason) ->
          throw RouterException.notRun(ErrorCode.NO_BACKEND, reason);
    };
  }

  /**
   * Retries the settlements that could not be made durable, until one of them fails.
   *
   * @return the number of settlements that are still pending
   */
  public int retrySettlements() {
    int count = pendingSettlements.size();
    for (int i = 0; i < count; i++) {
      Settled next = pendingSettlements.poll();
      if (next == null) {
        break;
      }
      if (!claims.settle(next, clock.instant().plus(SETTLE_TIMEOUT))) {
        pendingSettlements.add(next);
        break;
      }
    }
    return pendingSettlements.size();
  }
}
