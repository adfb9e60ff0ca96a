package org.kumquatplank.core.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whether an instance reads a topic of the store itself or relies on updates from peers.
 *
 * <p>Keeps all instances from polling the store. An instance reads unless a peer with a smaller
 * name has recently sent an update that the store confirmed, so that normally one instance reads.
 * If that instance stops or the store rejects it, the others take over within the maximum age of an
 * update, without any consensus. Not thread-safe.
 */
public final class ReaderElection {
  private final String self;
  private final long maxAgeMicros;
  private final Map<String, Long> confirmedAtByPeer = new HashMap<>();

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
  }

  /** Returns whether this instance has to read the topic itself. */
  public boolean isReader(long now) {
    return reader(now).isEmpty();
  }

  /** Returns the peer that reads the topic for this instance, or nothing if it has to read. */
  public Optional<String> reader(long now) {
    confirmedAtByPeer.values().removeIf(at -> now - at > maxAgeMicros);
    return confirmedAtByPeer.keySet().stream()
        .filter(sender -> sender.compareTo(self) < 0)
        .min(Comparator.naturalOrder());
  }
}
