package org.kumquatplank.core.claims;

import java.time.Clock;
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
 * Claims kept in the partitions of the log.
 *
 * <p>Thread-safe. Several stores may write to one partition at once: the order of the log decides.
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

  private final EventLog log;
  private final int partitions;
  private final Executor executor;
  private final Clock clock;
  private final Sleeper sleeper;
  private final ConcurrentHashMap<Integer, ClaimPartition> opened = new ConcurrentHashMap<>();

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
   * @param partitions number of streams; the same on all instances
   * @param executor runs the appends, one task a partition at a time
   */
  public static LogClaimStore create(
      EventLog log, int partitions, Executor executor, Clock clock, Sleeper sleeper) {
    return new LogClaimStore(log, partitions, executor, clock, sleeper);
  }

  @Override
  public ClaimDecision claim(Claimed claim, Instant deadline) {
    ClaimPartition partition = partitionOf(claim.key());
    try {
      Optional<ClaimIndex.Entry> known = partition.find(claim.key());
      if (known.isEmpty() || known.get().nonce().equals(claim.nonce())) {
        partition.append(claim, deadline);
      }
      return decide(claim, partition.find(claim.key()));
    } catch (LogException e) {
      return new ClaimDecision.Unavailable(String.valueOf(e.getMessage()));
    }
  }

  private static ClaimDecision decide(Claimed claim, Optional<ClaimIndex.Entry> known) {
    if (known.isEmpty()) {
      return new ClaimDecision.Unavailable("the claim was given up before it landed");
    }
    ClaimIndex.Entry entry = known.get();
    if (!entry.fingerprint().equals(claim.fingerprint())) {
      return new ClaimDecision.Reused();
    }
    if (entry.outcome().isPresent()) {
      return new ClaimDecision.Ended(entry.outcome().get());
    }
    if (entry.nonce().equals(claim.nonce())) {
      return new ClaimDecision.Won();
    }
    return new ClaimDecision.Held(entry.holder());
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
    return partition.find(key).flatMap(ClaimIndex.Entry::outcome);
  }

  /** Returns the number of keys remembered in the partitions opened so far. */
  public int size() {
    return opened.values().stream().mapToInt(ClaimPartition::size).sum();
  }

  private ClaimPartition partitionOf(ClaimKey key) {
    return opened.computeIfAbsent(
        key.partition(partitions),
        i -> new ClaimPartition(log, STREAM_PREFIX + i, executor, clock, sleeper));
  }
}
