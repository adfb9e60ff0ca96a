package org.kumquatplank.core.pace;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.IntSupplier;
import org.kumquatplank.core.pace.PaceEvidence.Mean;

/**
 * What is known of the speed of one process of a backend server: by how much it is slower than the
 * others of its service, and how many concurrent requests it takes well.
 *
 * <p>Answers servers of one service that differ in speed, or slow down long before all of their
 * slots are in use, while one instance sees each of them seldom. Evidence of this instance and of
 * peers is combined, and only what exceeds the error of its mean counts, so that a server of which
 * little is known is taken for usual. Dropped with the process. Not thread-safe.
 */
public final class ServerPace {
  /** Multiple of the standard error that is subtracted from a deviation. */
  private static final double ERROR_MARGIN = 1.5;

  /** Time after a response for which its server is reported to peers: four digests. */
  private static final long REPORTED_MICROS = 2_000_000;

  /** Weight of responses of the usual latency that are assumed in addition. */
  private static final double PRIOR_SAMPLES = 0.75;

  /** Step to which a deviation is rounded, so that servers of about the same speed are equal. */
  private static final double ROUNDING_STEP = 0.2;

  private static final double MAX_DEVIATION = 1.4;

  /** Time in which the limit rises from none to all slots. */
  private static final double RECOVERY_MICROS = 10_000_000;

  /** Time for which a result is used again. */
  private static final long REFRESH_MICROS = 250_000;

  /** Step of the running median of the slowdown that the server itself reports. */
  private static final double REPORTED_STEP = 0.05;

  private final PaceEvidence evidence = new PaceEvidence();
  private PeerPaces peers;
  private boolean hasEvidence;
  private long recordedAt = Long.MIN_VALUE / 2;
  private boolean hasReports;
  private double usualReported;
  private double usualReportedFactor = 1;
  private long refreshedAt = Long.MIN_VALUE;
  private int knee = LoadBand.COUNT;
  private double slowdownBelow = 1;
  private double slowdownAbove = 1;
  private double limitRatio = 1;

  private ServerPace() {}

  /** Returns the pace of a process of which nothing is known. */
  public static ServerPace unknown() {
    return new ServerPace();
  }

  /**
   * Returns by how much the server is slower at this moment than it usually is, at least 1 once its
   * usual pace is known.
   *
   * @param reportedSlowdown slowdown that the server reports, 1 being normal
   */
  public double momentarySlowdown(double reportedSlowdown) {
    return hasReports ? Math.max(1, reportedSlowdown / usualReportedFactor) : reportedSlowdown;
  }

  /** Records a slowdown that the server reported, and returns the logarithm of its excess. */
  double recordReported(double reportedSlowdown) {
    hasReports = true;
    double reported = Math.log(Math.max(0.01, reportedSlowdown));
    double excess = reported - usualReported;
    usualReported += Math.clamp(excess, -REPORTED_STEP, REPORTED_STEP);
    usualReportedFactor = Math.exp(usualReported);
    return Math.max(0, excess);
  }

  /** Records how far a response was from the usual latency at the same load. */
  void record(int band, double deviation, double spread, long now) {
    evidence.add(band, deviation, spread, now);
    recordedAt = now;
    hasEvidence = true;
  }

  /** Takes over what a peer has observed. */
  public void mergePeer(String peer, PaceReport report, long now) {
    if (peers == null) {
      peers = new PeerPaces();
    }
    peers.add(peer, report, now);
    hasEvidence = true;
  }

  /**
   * Returns the latency at a load as a multiple of that of the service at the same load.
   *
   * @param requests concurrent requests; asked only for a server that has a limit
   */
  public double slowdown(IntSupplier requests, int slots, long now) {
    int limit = limit(slots, now);
    return limit < slots && requests.getAsInt() >= limit ? slowdownAbove : slowdownBelow;
  }

  /** Returns the number of concurrent requests that the server takes well, at least 1. */
  public int limit(int slots, long now) {
    if (!hasEvidence) {
      return slots;
    }
    refresh(slots, now);
    return Math.max(1, (int) Math.round(limitRatio * slots));
  }

  private void refresh(int slots, long now) {
    if (refreshedAt != Long.MIN_VALUE && now - refreshedAt < REFRESH_MICROS) {
      return;
    }
    long elapsed = refreshedAt == Long.MIN_VALUE ? 0 : now - refreshedAt;
    refreshedAt = now;
    knee = evidence.knee(now);
    Mean below = evidence.mean(0, knee, now);
    Mean heard = peers == null ? new Mean(0, 0) : peers.mean(now);
    double samples = below.samples() + heard.samples();
    double deviation =
        samples > 0
            ? (below.samples() * below.deviation() + heard.samples() * heard.deviation())
                / (samples + PRIOR_SAMPLES)
            : 0;
    slowdownBelow = factor(significant(new Mean(samples, deviation)));
    Mean above = evidence.mean(knee, LoadBand.COUNT, now);
    slowdownAbove = Math.max(slowdownBelow, factor(significant(above)));
    updateLimit(slots, elapsed, now);
  }

  /** Lowers the limit at once, and raises it step by step. */
  private void updateLimit(int slots, long elapsed, long now) {
    double ratio = 1;
    OptionalDouble heard = peers == null ? OptionalDouble.empty() : peers.limit(now);
    if (knee < LoadBand.COUNT) {
      ratio = (double) LoadBand.firstRequest(knee, slots) / Math.max(1, slots);
    } else if (heard.isPresent()) {
      ratio = Math.min(1, heard.getAsDouble() / Math.max(1, slots));
    }
    limitRatio = Math.min(ratio, limitRatio + elapsed / RECOVERY_MICROS);
  }

  /**
   * Returns by how much a server is clearly slower; one that is faster counts as usual.
   *
   * <p>All instances would choose the fastest servers, of whose load each knows only a part.
   */
  private double significant(Mean mean) {
    if (mean.samples() == 0) {
      return 0;
    }
    double error = ERROR_MARGIN * evidence.spread() / Math.sqrt(mean.samples());
    return Math.clamp(mean.deviation() - error, 0, MAX_DEVIATION);
  }

  private static double factor(double deviation) {
    return Math.exp(ROUNDING_STEP * Math.round(deviation / ROUNDING_STEP));
  }

  /**
   * Returns what this instance itself has observed, if that is recent.
   *
   * <p>A server of the usual pace is reported as well: if only those were reported that seem to
   * differ, chance differences would add up at the peers.
   */
  public Optional<PaceReport> ownReport(String id, long startedMillis, int slots, long now) {
    if (now - recordedAt >= REPORTED_MICROS) {
      return Optional.empty();
    }
    refresh(slots, now);
    Mean own = evidence.mean(0, knee, now);
    int limit = knee == LoadBand.COUNT ? 0 : LoadBand.firstRequest(knee, slots);
    return Optional.of(
        new PaceReport(
            id,
            startedMillis,
            (int) Math.round(100 * Math.exp(own.deviation())),
            limit,
            (int) Math.round(own.samples())));
  }
}
