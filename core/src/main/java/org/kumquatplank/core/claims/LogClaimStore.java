package org.kumquatplank.core.claims;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.kumquatplank.core.claims.ClaimEntry.Claimed;
import org.kumquatplank.core.claims.ClaimEntry.Settled;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.time.Sleeper;

/**
 * Claim store backed by the log, with one stream per partition.
 *
 * <p>Thread-safe. Several stores may write to the same partition concurrently; the order of the
 * records in the log decides which claim of a key is the first.
 *
 * <pre>{@code
 * ClaimStore claims = LogClaimStore.create(log, 16, executor, clock, sleeper);
 * if (claims.claim(claim, deadline) instanceof ClaimDecision.Won) {
 *   dispatch();
 * }
 * }</pre>
 */
public final class LogClaimStore implements ClaimStore {
  private static final String STREAM_PREFIX = "claims-";

  /** Time for reading what the log holds of a key, after an append that was not confirmed. */
  private static final Duration READ_TIMEOUT = Duration.ofMillis(200);

  private final EventLog log;
  private final int partitions;
  private final Executor executor;
  private final Clock clock;
  private final Sleeper sleeper;
  private final ConcurrentHashMap<Integer, ClaimPartition> openPartitions =
      new ConcurrentHashMap<>();

  private LogClaimStore(
      EventLog log, int partitions, Executor executor, Clock clock, Sleeper sleeper) {
    this.log = log;
    this.partitions = partitions;
    this.executor = executor;
    this.clock = clock;
    this.sleeper = sleeper;
  }

  /**
   * Returns a store.
   *
   * @param partitions number of streams; must be the same on all instances
   * @param executor runs the appends, at most one task per partition at a time
   */
  public static LogClaimStore create(
      EventLog log, int partitions, Executor executor, Clock clock, Sleeper sleeper) {
    return new LogClaimStore(log, partitions, executor, clock, sleeper);
  }

  @Override
  public ClaimDecision claim(Claimed claim, Instant deadline) {
    ClaimPartition partition = partitionOf(claim.key());
    try {
      Optional<ClaimIndex.KeyState> known = partition.find(claim.key());
      if (known.isEmpty() || known.get().nonce().equals(claim.nonce())) {
        partition.append(claim, deadline);
      }
      return decide(claim, partition.find(claim.key()));
    } catch (LogException e) {
      return decideWithoutAppend(claim, partition, e);
    }
  }

  /** Reads what the log says of the key, after a claim that it did not confirm. */
  private ClaimDecision decideWithoutAppend(
      Claimed claim, ClaimPartition partition, LogException cause) {
    String reason = String.valueOf(cause.getMessage());
    try {
      partition.catchUp(clock.instant().plus(READ_TIMEOUT));
    } catch (LogException e) {
      return new ClaimDecision.Unavailable(reason + "; reading failed: " + e.getMessage(), false);
    }
    Optional<ClaimIndex.KeyState> known = partition.find(claim.key());
    boolean otherClaim = known.filter(state -> !state.nonce().equals(claim.nonce())).isPresent();
    return otherClaim ? decide(claim, known) : new ClaimDecision.Unavailable(reason, true);
  }

  private static ClaimDecision decide(Claimed claim, Optional<ClaimIndex.KeyState> known) {
    if (known.isEmpty()) {
      return new ClaimDecision.Unavailable("the claim was given up before it landed", true);
    }
    ClaimIndex.KeyState state = known.get();
    if (!state.fingerprint().equals(claim.fingerprint())) {
      return new ClaimDecision.KeyReused();
    }
    if (state.outcome().isPresent()) {
      return new ClaimDecision.AlreadyEnded(state.outcome().get());
    }
    if (state.nonce().equals(claim.nonce())) {
      return new ClaimDecision.Granted();
    }
    return new ClaimDecision.HeldByOther(state.holder());
  }

  @Override
  public boolean settle(Settled settled, Instant deadline) {
    try {
      partitionOf(settled.key()).append(settled, deadline);
      return true;
    } catch (LogException e) {
      return false;
    }
  }

  @Override
  public Optional<Outcome> find(ClaimKey key, Instant deadline) {
    ClaimPartition partition = partitionOf(key);
    try {
      partition.catchUp(deadline);
    } catch (LogException e) {
      return Optional.empty();
    }
    return partition.find(key).flatMap(ClaimIndex.KeyState::outcome);
  }

  /** Returns the number of keys in the indexes of the partitions opened so far. */
  public int size() {
    return openPartitions.values().stream().mapToInt(ClaimPartition::size).sum();
  }

  private ClaimPartition partitionOf(ClaimKey key) {
    return openPartitions.computeIfAbsent(
        key.partition(partitions),
        partition -> new ClaimPartition(log, STREAM_PREFIX + partition, executor, clock, sleeper));
  }
}
