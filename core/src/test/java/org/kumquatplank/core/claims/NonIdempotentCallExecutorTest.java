package org.kumquatplank.core.claims;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;

/** What a caller is told about a call whose claim can't be made durable. */
class NonIdempotentCallExecutorTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final NonIdempotentCall CALL =
      new NonIdempotentCall(
          new ClaimKey("hq", "press/a"), "POST", "/press/bookings", "{}", NOW.plusSeconds(5));

  /** A claim store that gives prepared decisions. */
  private record ScriptedStore(Deque<ClaimDecision> decisions) implements ClaimStore {
    @Override
    public ClaimDecision claim(ClaimEntry.Claimed claim, Instant deadline) {
      return decisions.remove();
    }

    @Override
    public boolean settle(ClaimEntry.Settled settled, Instant deadline) {
      return true;
    }

    @Override
    public Optional<Outcome> find(ClaimKey key, Instant deadline) {
      return Optional.empty();
    }
  }

  private static RouterException rejection(ClaimDecision... decisions) {
    NonIdempotentCallExecutor executor =
        NonIdempotentCallExecutor.create(
            new ScriptedStore(new ArrayDeque<>(List.of(decisions))),
            call -> new Outcome.Answered(201, "text/plain", "booked"),
            holder -> true,
            () -> "nonce",
            "self",
            Clock.fixed(NOW, ZoneOffset.UTC),
            duration -> true);
    return catchThrowableOfType(RouterException.class, () -> executor.run(CALL));
  }

  @Example
  void testNotRunIfLogShowsThatKeyWasNeverClaimed() {
    RouterException e = rejection(new ClaimDecision.Unavailable("slow", true));
    assertThat(e.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    assertThat(e.executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
    assertThat(e.retryAt()).contains(NOW.plusSeconds(2));
  }

  @Example
  void testUnknownIfAnEarlierSubmissionMayHaveRun() {
    RouterException e = rejection(new ClaimDecision.Unavailable("down", false));
    assertThat(e.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    assertThat(e.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(e.retryAt()).contains(NOW.plusSeconds(2));
  }

  /**
   * The owner of the partition says that the key is held and then does not respond any more; this
   * instance can't read the log before the deadline.
   */
  @Example
  void testUnknownIfKeyWasHeldBeforeLogBecameUnavailable() {
    RouterException e =
        rejection(new ClaimDecision.HeldByOther("b"), new ClaimDecision.Unavailable("late", false));
    assertThat(e.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
  }
}
