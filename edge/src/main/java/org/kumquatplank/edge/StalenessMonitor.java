package org.kumquatplank.edge;

import java.util.Optional;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.link.proto.EdgeDigest;

/**
 * Reports how current the configuration of this instance is, and when peers have a newer one.
 *
 * <p>Confined to the control thread.
 */
final class StalenessMonitor {
  /** Longer than an instance takes that catches up. */
  private static final long REPORT_AFTER_MICROS = 1_000_000;

  /** Time that an update under way may take. */
  private static final long CATCH_UP_AFTER_MICROS = 400_000;

  /** A peer may have a configuration that this instance can't read; reading again does not help. */
  private static final long CATCH_UP_INTERVAL_MICROS = 2_000_000;

  private static final long REPORT_INTERVAL_MICROS = 2_000_000;
  private static final long NOT_BEHIND = Long.MAX_VALUE;

  /** Time after which a version that no peer names any more is forgotten. */
  private static final long FORGET_AFTER_MICROS = 10_000_000;

  private static final EdgeDigest NONE = EdgeDigest.newBuilder().setCatalogVersion(-1).build();

  private final EdgeMetrics metrics;
  private final LogThrottle throttle = LogThrottle.create(REPORT_INTERVAL_MICROS);
  private EdgeDigest newest = NONE;
  private long newestSeenAt;
  private long awaitedVersion = -1;
  private long behindSince = NOT_BEHIND;
  private long nextCatchUpAt = Long.MIN_VALUE;

  StalenessMonitor(EdgeMetrics metrics) {
    this.metrics = metrics;
  }

  /** Records the version that a peer names. */
  void onDigest(EdgeDigest digest, long ownVersion, long now) {
    if (digest.getCatalogVersion() >= newest.getCatalogVersion()) {
      newest = digest;
      newestSeenAt = now;
    }
    update(ownVersion, now);
  }

  private void update(long ownVersion, long now) {
    if (now - newestSeenAt > FORGET_AFTER_MICROS) {
      newest = NONE;
    }
    if (newest.getCatalogVersion() <= ownVersion) {
      behindSince = NOT_BEHIND;
    } else if (behindSince == NOT_BEHIND || awaitedVersion <= ownVersion) {
      behindSince = now;
      awaitedVersion = newest.getCatalogVersion();
    }
  }

  /**
   * Returns the position of a peer that has had a newer configuration for a while, if this instance
   * is to catch up now.
   */
  Optional<LogPosition> takeCatchUpPosition(long ownVersion, long now) {
    update(ownVersion, now);
    boolean behind = behindSince != NOT_BEHIND && now - behindSince > CATCH_UP_AFTER_MICROS;
    if (!behind || now < nextCatchUpAt) {
      return Optional.empty();
    }
    nextCatchUpAt = now + CATCH_UP_INTERVAL_MICROS;
    return Optional.of(peerPosition());
  }

  private LogPosition peerPosition() {
    return LogPosition.of(newest.getOperatorEra(), newest.getOperatorOffset());
  }

  /**
   * Updates the metrics, and reports a configuration that has been older than a peer's for a while.
   *
   * @param livePeers number of peers whose digests arrive
   */
  void check(
      long ownVersion,
      StoreFollower.Status operator,
      StoreFollower.Status servers,
      int livePeers,
      long now) {
    metrics.gauge("catalog_version", ownVersion);
    metrics.gauge("peers_catalog_version", newest.getCatalogVersion());
    metrics.gauge("live_peers", livePeers);
    setTopicGauges("op", operator, now);
    setTopicGauges("servers", servers, now);
    update(ownVersion, now);
    if (behindSince != NOT_BEHIND && now - behindSince > REPORT_AFTER_MICROS) {
      throttle.pass(now).ifPresent(omitted -> report(ownVersion, operator, livePeers, now));
    }
  }

  private void setTopicGauges(String topic, StoreFollower.Status status, long now) {
    String label = "{topic=\"" + topic + "\"}";
    metrics.gauge("topic_era" + label, status.next().era());
    metrics.gauge("topic_offset" + label, status.next().offset());
    metrics.gauge("topic_age_ms" + label, (now - status.confirmedAt()) / 1_000);
    metrics.gauge("topic_following" + label, status.following() ? 1 : 0);
  }

  /** If the own offset is not below the peer's, a change was lost; otherwise it is to come. */
  private void report(long ownVersion, StoreFollower.Status operator, int livePeers, long now) {
    EdgeLog.event("behind")
        .addKeyValue("version", ownVersion)
        .addKeyValue("offset", operator.next())
        .addKeyValue("age_ms", (now - operator.confirmedAt()) / 1_000)
        .addKeyValue("following", operator.following())
        .addKeyValue("source", operator.lastSource())
        .addKeyValue("peer", newest.getInstance())
        .addKeyValue("peer_version", newest.getCatalogVersion())
        .addKeyValue("peer_offset", peerPosition())
        .addKeyValue("for_ms", (now - behindSince) / 1_000)
        .addKeyValue("live_peers", livePeers)
        .log();
  }
}
