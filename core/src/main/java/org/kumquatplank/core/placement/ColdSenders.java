package org.kumquatplank.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.kumquatplank.core.membership.RendezvousHashing;

/**
 * The instances among which the senders to a cold backend server are designated, as this instance
 * knows them.
 *
 * <p>Answers the load that many instances put on one server without a call between them: each ranks
 * the same candidates in the same way, those of the failure domain of the server first. A candidate
 * that is lost keeps its rank for a while, so that an instance that is cut off does not take over
 * the shares of all others, and an instance that has just started does not designate anyone before
 * it has heard of its peers. Not thread-safe.
 */
final class ColdSenders {
  /** Time for which a lost candidate keeps its rank, microseconds. */
  private static final long RETENTION_MICROS = 10_000_000;

  /** The same while no other instance is heard of: then this one is more likely cut off. */
  private static final long RETENTION_ALONE_MICROS = 120_000_000;

  /** Time after the start of this instance in which it hears of its first peers, microseconds. */
  private static final long MIN_SETTLING_MICROS = 4_000_000;

  /** Time without a new candidate after which the candidates are taken to be complete. */
  private static final long QUIET_MICROS = 2_000_000;

  /** Time after which the candidates count as complete at the latest, microseconds. */
  private static final long MAX_SETTLING_MICROS = 20_000_000;

  private final Member self;
  private final long startedAt;
  private final Map<String, Candidate> candidates = new HashMap<>();
  private long lastAddedAt;
  private long version;
  private int largestCount = 1;

  /** A member and when it was last live, microseconds. */
  private record Candidate(Member member, long liveAt) {}

  ColdSenders(Member self, long startedAt) {
    this.self = self;
    this.startedAt = startedAt;
    this.lastAddedAt = startedAt;
  }

  /** Takes over the other instances that are live now. */
  void setLive(Collection<Member> live, long now) {
    for (Member member : live) {
      Candidate before = candidates.put(member.name(), new Candidate(member, now));
      if (before == null || !isSamePlace(before.member(), member)) {
        lastAddedAt = now;
        version++;
      }
    }
    largestCount = Math.max(largestCount, count());
    long retention = live.isEmpty() ? RETENTION_ALONE_MICROS : RETENTION_MICROS;
    if (candidates.values().removeIf(c -> now - c.liveAt() > retention)) {
      version++;
    }
  }

  private static boolean isSamePlace(Member a, Member b) {
    return a.failureDomain().equals(b.failureDomain()) && a.region().equals(b.region());
  }

  /** Returns a number that changes with the candidates. */
  long version() {
    return version;
  }

  /** Returns the number of candidates including this instance. */
  int count() {
    return 1 + candidates.size();
  }

  /** Returns whether candidates were forgotten, which may run without being heard of. */
  boolean mayBeOthers() {
    return count() < largestCount;
  }

  /** Returns whether this instance has had the time to hear of the others. */
  boolean isSettled(long now) {
    long age = now - startedAt;
    return age >= MAX_SETTLING_MICROS
        || (age >= MIN_SETTLING_MICROS && now - lastAddedAt >= QUIET_MICROS);
  }

  /** Returns the number of candidates that are designated before this instance. */
  int rank(String serverId, String failureDomain, String region) {
    int ownTier = tier(self, failureDomain, region);
    long ownWeight = RendezvousHashing.weight(serverId, self.name());
    int ahead = 0;
    for (Candidate candidate : candidates.values()) {
      int tier = tier(candidate.member(), failureDomain, region);
      boolean isAhead =
          tier < ownTier
              || (tier == ownTier
                  && RendezvousHashing.weight(serverId, candidate.member().name()) > ownWeight);
      ahead += isAhead ? 1 : 0;
    }
    return ahead;
  }

  private static int tier(Member member, String failureDomain, String region) {
    if (member.failureDomain().equals(failureDomain)) {
      return 0;
    }
    return member.region().equals(region) ? 1 : 2;
  }
}
