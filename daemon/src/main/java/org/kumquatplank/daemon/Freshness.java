package org.kumquatplank.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Tracks whether this instance is known to have the newest configuration.
 *
 * <p>Reading the log to its end confirms freshness for a limited time. A peer's confirmation counts
 * too, if this instance has read at least as far in the log as the peer. Once the confirmation
 * expires, new requests are rejected, unless more than half of all instances, including this one,
 * cannot reach the log. No change of the configuration can be confirmed by that majority, so
 * serving continues.
 *
 * <p>Times are read from the monotonic clock, so that a jump of the wall clock has no effect.
 * Thread-safe.
 */
final class Freshness {
  private static final long CONFIRMATION_LIFETIME_NANOS = 3_000_000_000L;
  private static final long PEER_REPORT_LIFETIME_NANOS = 2_000_000_000L;

  private final LongSupplier nanoTime;
  private final Map<String, PeerReport> peerReports = new HashMap<>();
  private long confirmedAt;
  private boolean confirmed;
  private boolean logReachable;
  private long newestKnownVersion;
  private long ownVersion;
  private Set<String> listed = Set.of();

  /**
   * Most recent report of a peer.
   *
   * @param at time of the request that it answers, nanoseconds of the monotonic clock
   * @param logReachable whether the peer can reach the log
   */
  private record PeerReport(long at, boolean logReachable) {}

  private Freshness(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
  }

  static Freshness create(LongSupplier nanoTime) {
    return new Freshness(nanoTime);
  }

  /** Records that the log was read to its end by a read that began at {@code startedAt}. */
  synchronized void confirmByLog(long startedAt) {
    logReachable = true;
    confirm(startedAt);
  }

  /** Records that a read of the log succeeded, though it may not have reached the end. */
  synchronized void recordLogRead() {
    logReachable = true;
  }

  synchronized void recordLogFailure() {
    logReachable = false;
  }

  /**
   * Records the report of a peer.
   *
   * @param requestedAt time at which the request was sent, nanoseconds of the monotonic clock
   * @param confirmationAgeNanos age of the peer's confirmation when it replied; negative if it has
   *     none
   * @param covered whether this instance has read at least as far in the log as the peer
   */
  synchronized void recordPeerReport(
      String peer,
      long requestedAt,
      long confirmationAgeNanos,
      boolean peerLogReachable,
      boolean covered) {
    peerReports.put(peer, new PeerReport(requestedAt, peerLogReachable));
    if (covered && confirmationAgeNanos >= 0) {
      confirm(requestedAt - confirmationAgeNanos);
    }
  }

  private void confirm(long at) {
    if (!confirmed || at > confirmedAt) {
      confirmedAt = at;
      confirmed = true;
    }
  }

  /** Sets the identities of the other listed instances. */
  synchronized void setListed(Set<String> others) {
    listed = Set.copyOf(others);
    peerReports.keySet().retainAll(listed);
  }

  /** Sets the version of this instance's configuration. */
  synchronized void setOwnVersion(long version) {
    ownVersion = version;
    newestKnownVersion = Math.max(newestKnownVersion, version);
  }

  /** Records that a configuration of this version exists. */
  synchronized void observeVersion(long version) {
    newestKnownVersion = Math.max(newestKnownVersion, version);
  }

  /** Returns the age of the latest confirmation, or -1 if there has been none. */
  synchronized long confirmationAgeNanos() {
    return confirmed ? nanoTime.getAsLong() - confirmedAt : -1;
  }

  synchronized boolean logReachable() {
    return logReachable;
  }

  /** Returns whether requests may be dispatched under this instance's configuration. */
  synchronized boolean isFresh() {
    if (!confirmed || ownVersion < newestKnownVersion) {
      return false;
    }
    long now = nanoTime.getAsLong();
    return now - confirmedAt < CONFIRMATION_LIFETIME_NANOS || isLogLostByMajority(now);
  }

  private boolean isLogLostByMajority(long now) {
    if (logReachable) {
      return false;
    }
    int withoutLog = 1;
    for (PeerReport report : peerReports.values()) {
      boolean isRecent = now - report.at() < PEER_REPORT_LIFETIME_NANOS;
      if (isRecent && report.logReachable()) {
        return false;
      }
      withoutLog += isRecent ? 1 : 0;
    }
    return 2 * withoutLog > listed.size() + 1;
  }
}
