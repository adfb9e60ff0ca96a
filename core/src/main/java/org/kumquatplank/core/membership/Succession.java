package org.kumquatplank.core.membership;

import java.util.Collection;

/**
 * Order in which the live instances perform a duty of the whole system, such as recording an
 * outcome.
 *
 * <p>The first one performs it. If it is left undone, since the store rejects the first one or that
 * one does not know of it, the next ones step in, one after the other. Immutable and thread-safe.
 */
public final class Succession {
  /** Time after its start in which an instance hears of its peers and of what they know. */
  private static final long SETTLING_MICROS = 1_400_000;

  /** Time that an instance has before the next one steps in; it covers a read and a write. */
  private static final long TURN_MICROS = 600_000;

  private final int rank;
  private final long settledAt;

  private Succession(int rank, long settledAt) {
    this.rank = rank;
    this.settledAt = settledAt;
  }

  /**
   * Returns the view of an instance.
   *
   * @param self name of this instance
   * @param peers names of the live peers that accept requests
   * @param startedAt time at which this instance started, microseconds
   */
  public static Succession of(String self, Collection<String> peers, long startedAt) {
    long ahead = peers.stream().filter(peer -> peer.compareTo(self) < 0).count();
    return new Succession(Math.toIntExact(ahead), startedAt + SETTLING_MICROS);
  }

  /** Returns whether this instance is the first one, as far as it can know. */
  public boolean isFirst(long now) {
    return rank == 0 && now >= settledAt;
  }

  /**
   * Returns whether it is the turn of this instance to perform a duty that is still left undone.
   *
   * @param since time from which this instance has known of the duty, microseconds
   */
  public boolean isTurn(long since, long now) {
    return now >= settledAt && now >= since + rank * TURN_MICROS;
  }
}
