package org.kumquatplank.core.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whether an instance reads a topic of the store itself or relies on updates from peers.
 *
 * <p>Keeps all instances from polling the store. Normally the live instance with the smallest name
 * reads. An instance that has heard nothing of the store for longer than an update stays current
 * reads too, the later the more live peers have smaller names. So the next one takes over when the
 * reader stops or the store rejects it, without any consensus, and a restart of many instances or
 * an outage of the store does not make all of them call at once. Not thread-safe.
 */
public final class ReaderElection {
  /** Time between the takeovers of two instances that are next to each other by name. */
  private static final long TAKEOVER_STEP_MICROS = 100_000;

  /** Longest delay of a takeover, however many peers have smaller names. */
  private static final long MAX_TAKEOVER_DELAY_MICROS = 400_000;

  private final String self;
  private final long maxAgeMicros;
  private final Map<String, Long> confirmedAtByPeer = new HashMap<>();
  private long confirmedAt = Long.MIN_VALUE / 2;
  private boolean reading;
  private int rank;

  private ReaderElection(String self, long maxAgeMicros) {
    this.self = self;
    this.maxAgeMicros = maxAgeMicros;
  }

  /**
   * Returns the election state of an instance that has received no update yet.
   *
   * @param self name of this instance
   * @param maxAgeMicros maximum age of the confirmation of a peer, microseconds
   */
  public static ReaderElection create(String self, long maxAgeMicros) {
    return new ReaderElection(self, maxAgeMicros);
  }

  /**
   * Records that the store confirmed an update of a peer to be complete.
   *
   * @param sender name of the peer
   * @param at time at which the store confirmed to the peer that it has read all, microseconds
   */
  public void recordConfirmation(String sender, long at) {
    confirmedAtByPeer.merge(sender, at, Math::max);
    confirmedAt = Math.max(confirmedAt, at);
  }

  /** Records that the store has answered a read of this instance, microseconds. */
  public void recordRead(long at) {
    confirmedAt = Math.max(confirmedAt, at);
  }

  /** Sets the names of the peers that live and may read the topic for this instance. */
  public void setLivePeers(Collection<String> names) {
    int newRank = (int) names.stream().filter(name -> name.compareTo(self) < 0).count();
    if (rank == 0 && newRank > 0) {
      // The first peers with smaller names have appeared; their updates are on the way.
      reading = false;
    }
    rank = newRank;
  }

  /** Returns the number of live peers that come before this instance as readers. */
  public int rank() {
    return rank;
  }

  /** Returns whether this instance has to read the topic itself. */
  public boolean isReader(long now) {
    reading = reader(now).isEmpty() && (reading || now > takeoverAt());
    return reading;
  }

  private long takeoverAt() {
    return rank == 0
        ? Long.MIN_VALUE
        : confirmedAt
            + maxAgeMicros
            + Math.min(MAX_TAKEOVER_DELAY_MICROS, (rank - 1) * TAKEOVER_STEP_MICROS);
  }

  /** Returns the peer that reads the topic for this instance, or nothing if there is none. */
  public Optional<String> reader(long now) {
    confirmedAtByPeer.values().removeIf(at -> now - at > maxAgeMicros);
    return confirmedAtByPeer.keySet().stream()
        .filter(sender -> sender.compareTo(self) < 0)
        .min(Comparator.naturalOrder());
  }
}
