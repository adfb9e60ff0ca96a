package org.kumquatplank.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * How fast each backend server is, by this instance's own observation.
 *
 * <p>Load reports come late; tokens on open streams don't. An engine is slow when it is much slower
 * than others that serve the same version. Not thread-safe.
 */
final class BackendSpeedTracker {
  private static final double FIRST_PACE_MICROS = 15_000;
  private static final double LEARNING_RATE = 0.3;
  private static final double SLOW_FACTOR = 3;
  private static final double LEAST_SLOW_DELAY_MICROS = 600_000;
  private static final double LEAST_SLOW_GAP_MICROS = 100_000;
  private static final long SUSPECT_MICROS = 1_500_000;
  private static final long PEER_SUSPECT_MICROS = 600_000;

  private final Map<Key, Pace> paces = new HashMap<>();
  private final Map<String, Standing> standings = new HashMap<>();

  /** A version on a backend server. */
  private record Key(String backend, String version) {}

  /** Running estimates of one version on one backend server. */
  private static final class Pace {
    private double tokenMicros;
    private double delayMicros;
  }

  /** Whether a backend server is trusted. */
  private static final class Standing {
    private long suspectUntil = Long.MIN_VALUE;
    private long peerSuspectUntil = Long.MIN_VALUE;
    private boolean onProbation;
  }

  /** Takes in the mean time between tokens over a stretch of a stream. */
  void tokens(String backend, String version, double microsPerToken, long now) {
    OptionalDouble typical = median(backend, version, pace -> pace.tokenMicros);
    Pace pace = paceOf(backend, version);
    pace.tokenMicros = learn(pace.tokenMicros, microsPerToken);
    boolean slow = typical.isPresent() && microsPerToken > SLOW_FACTOR * typical.getAsDouble();
    judge(backend, slow, now);
  }

  /**
   * Takes in the time from dispatch to the first token.
   *
   * <p>A busy engine may be late with it, so only a gross delay counts against an engine.
   */
  void firstToken(String backend, String version, double delayMicros, long now) {
    if (delayMicros > slowDelayMicros(backend, version)) {
      suspect(backend, now);
    }
    Pace pace = paceOf(backend, version);
    pace.delayMicros = learn(pace.delayMicros, delayMicros);
  }

  private static double learn(double mean, double sample) {
    return mean == 0 ? sample : mean + LEARNING_RATE * (sample - mean);
  }

  private void judge(String backend, boolean slow, long now) {
    if (slow) {
      suspect(backend, now);
      return;
    }
    Standing standing = standingOf(backend);
    standing.suspectUntil = Math.min(standing.suspectUntil, now);
    standing.onProbation = false;
  }

  private void suspect(String backend, long now) {
    Standing standing = standingOf(backend);
    standing.suspectUntil = now + SUSPECT_MICROS;
    standing.onProbation = true;
  }

  /**
   * Notes that a stream has been silent for a time.
   *
   * @param begun whether its first token has come
   */
  void silent(String backend, String version, boolean begun, long silentMicros, long now) {
    double bound = begun ? slowGapMicros(backend, version) : slowDelayMicros(backend, version);
    if (silentMicros > bound) {
      suspect(backend, now);
    }
  }

  private double slowGapMicros(String backend, String version) {
    OptionalDouble typical = median(backend, version, pace -> pace.tokenMicros);
    return Math.max(LEAST_SLOW_GAP_MICROS, 2 * SLOW_FACTOR * typical.orElse(FIRST_PACE_MICROS));
  }

  /** Notes a failed call. */
  void failed(String backend, long now) {
    suspect(backend, now);
  }

  /** Notes that a peer suspects the backend server. */
  void suspectedByPeer(String backend, long now) {
    standingOf(backend).peerSuspectUntil = now + PEER_SUSPECT_MICROS;
  }

  /** Returns the backend servers that this instance suspects by its own observation. */
  List<String> ownSuspects(long now) {
    return standings.entrySet().stream()
        .filter(e -> now < e.getValue().suspectUntil)
        .map(Map.Entry::getKey)
        .toList();
  }

  boolean isSuspect(String backend, long now) {
    Standing standing = standings.get(backend);
    return standing != null && now < Math.max(standing.suspectUntil, standing.peerSuspectUntil);
  }

  /** Returns whether one request at a time may find out whether it has recovered. */
  boolean isOnProbation(String backend) {
    Standing standing = standings.get(backend);
    return standing != null && standing.onProbation;
  }

  double tokenMicros(String backend, String version) {
    Pace pace = paces.get(new Key(backend, version));
    return pace == null || pace.tokenMicros == 0 ? FIRST_PACE_MICROS : pace.tokenMicros;
  }

  private double slowDelayMicros(String backend, String version) {
    OptionalDouble typical = median(backend, version, pace -> pace.delayMicros);
    return Math.max(LEAST_SLOW_DELAY_MICROS, SLOW_FACTOR * typical.orElse(0));
  }

  /** Returns the median over the other backend servers that were seen with the version. */
  private OptionalDouble median(String except, String version, ToDoubleFunction<Pace> figure) {
    double[] others =
        paces.entrySet().stream()
            .filter(e -> e.getKey().version().equals(version))
            .filter(e -> !e.getKey().backend().equals(except))
            .mapToDouble(e -> figure.applyAsDouble(e.getValue()))
            .filter(value -> value > 0)
            .sorted()
            .toArray();
    return others.length == 0
        ? OptionalDouble.empty()
        : OptionalDouble.of(others[others.length / 2]);
  }

  void keepOnly(Set<String> backends) {
    paces.keySet().removeIf(k -> !backends.contains(k.backend()));
    standings.keySet().retainAll(backends);
  }

  private Pace paceOf(String backend, String version) {
    return paces.computeIfAbsent(new Key(backend, version), k -> new Pace());
  }

  private Standing standingOf(String backend) {
    return standings.computeIfAbsent(backend, b -> new Standing());
  }
}
