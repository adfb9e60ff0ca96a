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
 * Runs calls at most once each: claim, dispatch, settle, answer.
 *
 * <p>Thread-safe. A claim that may have been dispatched is never given to another holder, however
 * much time passes; the caller then hears that the outcome is unknown.
 */
public final class NonIdempotentCallExecutor {
  private static final Duration CLAIM_WAIT = Duration.ofSeconds(2);
  private static final Duration SETTLE_WAIT = Duration.ofSeconds(1);
  private static final Duration LOOK_PAUSE = Duration.ofMillis(50);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final ClaimStore claims;
  private final Dispatcher dispatcher;
  private final Predicate<String> holderIsLive;
  private final Supplier<String> nonces;
  private final String holder;
  private final Clock clock;
  private final Sleeper sleeper;
  private final Queue<Settled> unsettled = new ConcurrentLinkedQueue<>();

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
    /** Sends the call and says how it ended; never sends it twice. */
    Outcome dispatch(NonIdempotentCall call);
  }

  /**
   * Returns a runner of calls.
   *
   * @param holderIsLive tells whether the process of that identity still runs, as far as is known
   * @param nonces yields unique marks
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
    return new NonIdempotentCallExecutor(claims, dispatcher, holderIsLive, nonces, holder, clock, sleeper);
  }

  /**
   * Runs the call, or replays its answer when it ran before.
   *
   * @throws RouterException when there is no answer, saying whether the call ran
   */
  public Outcome.Answered run(NonIdempotentCall call) {
    Claimed claim = new Claimed(call.key(), call.fingerprint(), nonces.get(), holder);
    while (true) {
      Instant claimDeadline = Deadlines.earlier(call.deadline(), clock.instant().plus(CLAIM_WAIT));
      switch (claims.claim(claim, claimDeadline)) {
        case ClaimDecision.Won() -> {
          return dispatch(call, claim);
        }
        case ClaimDecision.Ended(Outcome outcome) -> {
          return answer(outcome);
        }
        case ClaimDecision.Held(String other) -> awaitOther(call, other);
        case ClaimDecision.Reused() ->
            throw RouterException.notRun(
                ErrorCode.KEY_REUSED, "the idempotency key was used for another call");
        case ClaimDecision.Unavailable(String reason) -> throw giveUp(claim, reason);
      }
    }
  }

  private RouterException giveUp(Claimed claim, String reason) {
    unsettled.add(settled(claim, new Outcome.NotSent("claim abandoned")));
    return RouterException.notRunUntil(
        ErrorCode.LOG_UNAVAILABLE,
        clock.instant().plus(RETRY_AFTER),
        "the call could not be made safe against running twice: " + reason);
  }

  private Outcome.Answered dispatch(NonIdempotentCall call, Claimed claim) {
    Outcome outcome = sendOnce(call);
    Settled settled = settled(claim, outcome);
    if (!claims.settle(settled, clock.instant().plus(SETTLE_WAIT))) {
      unsettled.add(settled);
    }
    return answer(outcome);
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

  private static Settled settled(Claimed claim, Outcome outcome) {
    return new Settled(claim.key(), claim.fingerprint(), claim.nonce(), outcome);
  }

  /** Waits a little for the other holder; the key may end, be freed, or stay held. */
  private void awaitOther(NonIdempotentCall call, String other) {
    Optional<Outcome> outcome = claims.find(call.key(), call.deadline());
    if (outcome.isPresent()) {
      return;
    }
    if (!holderIsLive.test(other)) {
      throw RouterException.unknown(
          ErrorCode.OUTCOME_UNKNOWN,
          "an earlier submission may have run; its instance is gone and left no outcome");
    }
    boolean waited = sleeper.sleep(LOOK_PAUSE);
    if (!waited || !clock.instant().isBefore(call.deadline())) {
      throw RouterException.unknown(
          ErrorCode.IN_PROGRESS, "an earlier submission under this key has not ended yet");
    }
  }

  private static Outcome.Answered answer(Outcome outcome) {
    return switch (outcome) {
      case Outcome.Answered answered -> answered;
      case Outcome.Lost(String reason) ->
          throw RouterException.of(ErrorCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, reason, null);
      case Outcome.NotSent(String reason) ->
          throw RouterException.notRun(ErrorCode.NO_BACKEND, reason);
    };
  }

  /**
   * Tries once more to make durable what could not be settled.
   *
   * @return the number of settlements still open
   */
  public int settleOpen() {
    int open = unsettled.size();
    for (int i = 0; i < open; i++) {
      Settled next = unsettled.poll();
      if (next == null) {
        break;
      }
      if (!claims.settle(next, clock.instant().plus(SETTLE_WAIT))) {
        unsettled.add(next);
        break;
      }
    }
    return unsettled.size();
  }
}
