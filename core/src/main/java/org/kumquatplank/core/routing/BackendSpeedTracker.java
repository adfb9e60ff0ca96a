package org.kumquatplank.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Measures the speed of each backend server and detects stragglers from the response streams of
 * this instance.
 *
 * <p>Load reports arrive late, whereas tokens on open streams show a slowdown at once. A backend
 * server is slow if it is much slower than others that serve the same version. Not thread-safe.
 */
final class BackendSpeedTracker {
  private static final double DEFAULT_TOKEN_INTERVAL_MICROS = 15_000;
  private static final double SMOOTHING_FACTOR = 0.3;

  /** Multiple of the median of the other backend servers above which one is slow. */
  private static final double SLOW_FACTOR = 3;

  private static final double MIN_SLOW_FIRST_TOKEN_MICROS = 600_000;
  private static final double MIN_SLOW_GAP_MICROS = 100_000;
  private static final long SUSPECT_DURATION_MICROS = 1_500_000;
  private static final long PEER_SUSPECT_DURATION_MICROS = 600_000;

  private final Map<Key, Estimate> estimates = new HashMap<>();
  private final Map<String, Health> healthByBackend = new HashMap<>();

  /** A model version on a backend server. */
  private record Key(String backend, String version) {}

  /**
   * Exponentially weighted means of one version on one backend server; 0 before the first sample.
   */
  private static final class Estimate {
    private double tokenIntervalMicros;
    private double firstTokenMicros;
  }

  /** Whether one backend server is suspected to be slow. */
  private static final class Health {
    private long suspectUntil = Long.MIN_VALUE;
    private long peerSuspectUntil = Long.MIN_VALUE;
    private boolean onProbation;
  }

  /** Records the mean time between tokens over a section of a stream. */
  void recordTokenInterval(String backend, String version, double microsPerToken, long now) {
    OptionalDouble medianOfOthers =
        median(backend, version, estimate -> estimate.tokenIntervalMicros);
    Estimate estimate = estimateOf(backend, version);
    estimate.tokenIntervalMicros = smooth(estimate.tokenIntervalMicros, microsPerToken);
    boolean slow =
        medianOfOthers.isPresent() && microsPerToken > SLOW_FACTOR * medianOfOthers.getAsDouble();
    updateHealth(backend, slow, now);
  }

  /**
   * Records the time from sending a request to its first token.
   *
   * <p>The first token is also late on a busy backend server, so only a long delay makes it
   * suspect.
   */
  void recordFirstToken(String backend, String version, double firstTokenMicros, long now) {
    if (firstTokenMicros > slowFirstTokenMicros(backend, version)) {
      markSuspect(backend, now);
    }
    Estimate estimate = estimateOf(backend, version);
    estimate.firstTokenMicros = smooth(estimate.firstTokenMicros, firstTokenMicros);
  }

  private static double smooth(double mean, double sample) {
    return mean == 0 ? sample : mean + SMOOTHING_FACTOR * (sample - mean);
  }

  private void updateHealth(String backend, boolean slow, long now) {
    if (slow) {
      markSuspect(backend, now);
      return;
    }
    Health health = healthOf(backend);
    health.suspectUntil = Math.min(health.suspectUntil, now);
    health.onProbation = false;
  }

  private void markSuspect(String backend, long now) {
    Health health = healthOf(backend);
    health.suspectUntil = now + SUSPECT_DURATION_MICROS;
    health.onProbation = true;
  }

  /**
   * Records that a stream is silent.
   *
   * @param firstTokenReceived whether the first token has been received
   * @param silentMicros time since the last progress, in microseconds
   */
  void recordSilence(
      String backend, String version, boolean firstTokenReceived, long silentMicros, long now) {
    double limitMicros =
        firstTokenReceived
            ? slowGapMicros(backend, version)
            : slowFirstTokenMicros(backend, version);
    if (silentMicros > limitMicros) {
      markSuspect(backend, now);
    }
  }

  private double slowGapMicros(String backend, String version) {
    OptionalDouble medianOfOthers =
        median(backend, version, estimate -> estimate.tokenIntervalMicros);
    return Math.max(
        MIN_SLOW_GAP_MICROS,
        2 * SLOW_FACTOR * medianOfOthers.orElse(DEFAULT_TOKEN_INTERVAL_MICROS));
  }

  /** Records a failed call. */
  void recordFailure(String backend, long now) {
    markSuspect(backend, now);
  }

  /** Records that a peer suspects the backend server. */
  void markSuspectedByPeer(String backend, long now) {
    healthOf(backend).peerSuspectUntil = now + PEER_SUSPECT_DURATION_MICROS;
  }

  /** Returns the backend servers that this instance suspects from its own measurements. */
  List<String> ownSuspects(long now) {
    return healthByBackend.entrySet().stream()
        .filter(e -> now < e.getValue().suspectUntil)
        .map(Map.Entry::getKey)
        .toList();
  }

  boolean isSuspect(String backend, long now) {
    Health health = healthByBackend.get(backend);
    return health != null && now < Math.max(health.suspectUntil, health.peerSuspectUntil);
  }

  /**
   * Returns whether the backend server gets only one request of this instance at a time, to find
   * out whether it has recovered.
   */
  boolean isOnProbation(String backend) {
    Health health = healthByBackend.get(backend);
    return health != null && health.onProbation;
  }

  double tokenIntervalMicros(String backend, String version) {
    Estimate estimate = estimates.get(new Key(backend, version));
    return estimate == null || estimate.tokenIntervalMicros == 0
        ? DEFAULT_TOKEN_INTERVAL_MICROS
        : estimate.tokenIntervalMicros;
  }

  private double slowFirstTokenMicros(String backend, String version) {
    OptionalDouble medianOfOthers = median(backend, version, estimate -> estimate.firstTokenMicros);
    return Math.max(MIN_SLOW_FIRST_TOKEN_MICROS, SLOW_FACTOR * medianOfOthers.orElse(0));
  }

  /** Returns the median over the other backend servers with samples of the version. */
  private OptionalDouble median(
      String excluded, String version, ToDoubleFunction<Estimate> metric) {
    double[] others =
        estimates.entrySet().stream()
            .filter(e -> e.getKey().version().equals(version))
            .filter(e -> !e.getKey().backend().equals(excluded))
            .mapToDouble(e -> metric.applyAsDouble(e.getValue()))
            .filter(value -> value > 0)
            .sorted()
            .toArray();
    return others.length == 0
        ? OptionalDouble.empty()
        : OptionalDouble.of(others[others.length / 2]);
  }

  void retainBackends(Set<String> backends) {
    estimates.keySet().removeIf(k -> !backends.contains(k.backend()));
    healthByBackend.keySet().retainAll(backends);
  }

  private Estimate estimateOf(String backend, String version) {
    return estimates.computeIfAbsent(new Key(backend, version), k -> new Estimate());
  }

  private Health healthOf(String backend) {
    return healthByBackend.computeIfAbsent(backend, b -> new Health());
  }
}
