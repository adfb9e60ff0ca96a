package org.kumquatplank.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.kumquatplank.bench.Figure.Bound;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.quality.QualityTracker;

/**
 * Measures the router against its stated targets and against the baselines.
 *
 * <p>All policies run on the same scenarios with the same seed. Not thread-safe.
 */
final class RoutingBenchmark {
  private static final long MICROS_PER_SECOND = 1_000_000;
  static final long DEFAULT_SEED = 11;

  /** Part of a run that is left out of latency quantiles. */
  private static final double WARM_UP_RATIO = 0.4;

  private static final double MAX_FIRST_TOKEN_MILLIS = 560;
  private static final double MAX_MILLIS_PER_TOKEN = 45;

  /** Number of seeds over which the exposure of the router policy is averaged. */
  private static final int EXPOSURE_SEEDS = 6;

  private static final double RATINGS_PER_DAY = 2_000;

  /** The stated target: one false alarm in 1,000 days. */
  private static final double RATINGS_PER_FALSE_ALARM = 2_000_000;

  private static final Set<String> SHORT_CLASSES = Set.of(Scenario.TITLE, Scenario.TAG);

  private final List<Figure> figures = new ArrayList<>();
  private final boolean quick;
  private final long seed;

  RoutingBenchmark(boolean quick, long seed) {
    this.quick = quick;
    this.seed = seed;
  }

  /** The size of a deployment. */
  private record Deployment(String name, int engines, double requestsPerSecond) {}

  private static final List<Deployment> DEPLOYMENTS =
      List.of(new Deployment("kkumgyeol", 6, 22), new Deployment("umuhuza", 13, 44));

  /** Runs all measurements and returns the figures. */
  List<Figure> run() {
    for (Deployment deployment : DEPLOYMENTS) {
      measureSteadyLoad(deployment);
      measurePeakLoad(deployment);
      measureShortBehindLong(deployment);
      measureStragglers(deployment);
      measureBadLaunch(deployment);
      measureQualityDrop(deployment);
    }
    measureFalseAlarms();
    return figures;
  }

  /** Returns a duration in microseconds, halved in quick mode. */
  private long scaledMicros(long seconds) {
    return (quick ? seconds / 2 : seconds) * MICROS_PER_SECOND;
  }

  private Scenario.Builder scenarioFor(Deployment deployment) {
    return Scenario.builder()
        .deployment(deployment.name(), deployment.engines())
        .arrivalRate(t -> deployment.requestsPerSecond());
  }

  /** Adds a figure; the bound applies to the router policy only. */
  private void add(
      String metric,
      Deployment deployment,
      String policy,
      double value,
      String unit,
      Optional<Bound> bound) {
    boolean isRouter = policy.equals(Policies.ROUTER);
    figures.add(
        new Figure(
            metric, deployment.name(), policy, value, unit, isRouter ? bound : Optional.empty()));
  }

  /** Cost, quality and latency at a constant arrival rate. */
  private void measureSteadyLoad(Deployment deployment) {
    Scenario scenario = scenarioFor(deployment).durationMicros(scaledMicros(240)).create();
    for (Map.Entry<String, Simulation.PolicyFactory> policy : Policies.all().entrySet()) {
      List<RequestResult> results = Simulation.run(scenario, policy.getValue(), seed).results();
      double cost = results.stream().mapToDouble(RequestResult::costMicros).sum();
      double ratio = cost / OracleBounds.minimumCost(scenario, results);
      String name = policy.getKey();
      add("cost_ratio", deployment, name, ratio, "ratio", Bound.atMost(1.10));
      double margin = qualityMargin(scenario, results);
      add("quality_margin", deployment, name, margin, "rating", Bound.atLeast(0));
      long onTime = results.stream().filter(r -> r.firstTokenMillis() <= maxFirstToken(r)).count();
      double onTimeRatio = Statistics.ratio(onTime, results.size());
      add("first_token_in_time", deployment, name, onTimeRatio, "share", Bound.atLeast(0.95));
      long onPace =
          results.stream().filter(r -> r.millisPerToken() <= MAX_MILLIS_PER_TOKEN).count();
      double onPaceRatio = Statistics.ratio(onPace, results.size());
      add("token_pace_in_time", deployment, name, onPaceRatio, "share", Bound.atLeast(0.95));
    }
  }

  /** Returns the limit in milliseconds; classes that allow a cascade have a longer one. */
  private static double maxFirstToken(RequestResult r) {
    return Math.max(
        MAX_FIRST_TOKEN_MILLIS, r.request().routingRequest().workClass().firstTokenMillis());
  }

  /** Returns the lowest difference, over all classes, of the mean rating and the quality target. */
  private static double qualityMargin(Scenario scenario, List<RequestResult> results) {
    Map<String, double[]> sums = new HashMap<>();
    for (RequestResult r : results) {
      if (r.isFinished()) {
        double[] sum = sums.computeIfAbsent(r.workClass(), c -> new double[2]);
        sum[0] += r.rating();
        sum[1]++;
      }
    }
    double lowest = 1;
    for (WorkClass c : scenario.configuration().classes().values()) {
      double[] sum = sums.get(c.name());
      lowest = Math.min(lowest, sum[0] / sum[1] - c.quality());
    }
    return lowest;
  }

  /** Load that rises to three times the usual rate, with one account above all others. */
  private void measurePeakLoad(Deployment deployment) {
    long peakStart = scaledMicros(60);
    long peakEnd = peakStart + 20 * MICROS_PER_SECOND;
    Scenario scenario =
        scenarioFor(deployment)
            .accounts(10, 0.4)
            .durationMicros(peakEnd)
            .arrivalRate(
                t ->
                    deployment.requestsPerSecond()
                        * (t >= peakStart
                            ? Math.min(3, 1 + (t - peakStart) / MICROS_PER_SECOND)
                            : 1))
            .create();
    for (Map.Entry<String, Simulation.PolicyFactory> policy : Policies.all().entrySet()) {
      List<RequestResult> all = Simulation.run(scenario, policy.getValue(), seed).results();
      List<RequestResult> peak =
          all.stream()
              .filter(r -> r.request().routingRequest().arrivalMicros() >= peakStart)
              .toList();
      double served =
          peak.stream().filter(RequestResult::metDeadline).mapToDouble(PeakLoad::workMicros).sum();
      double offered = peak.stream().mapToDouble(PeakLoad::workMicros).sum();
      double achievable =
          Math.min(offered, PeakLoad.achievableWorkMicros(scenario, peak, peakEnd - peakStart));
      String name = policy.getKey();
      add("crest_goodput", deployment, name, served / achievable, "ratio", Bound.atLeast(0.95));
      add(
          "crest_fair_share",
          deployment,
          name,
          PeakLoad.minFairShareRatio(peak),
          "ratio",
          Bound.atLeast(0.9));
    }
  }

  /** Latency of short requests with long requests in the traffic, against the same without. */
  private void measureShortBehindLong(Deployment deployment) {
    List<Scenario.TrafficShare> withoutLong =
        Scenario.defaultTrafficMix().stream()
            .filter(m -> !m.workClass().equals(Scenario.RETELLING))
            .toList();
    // The other classes are nine tenths of the requests.
    double shortRate = deployment.requestsPerSecond() * 0.9;
    Scenario with = scenarioFor(deployment).durationMicros(scaledMicros(240)).create();
    Scenario without =
        scenarioFor(deployment)
            .durationMicros(scaledMicros(240))
            .trafficMix(normalized(withoutLong))
            .arrivalRate(t -> shortRate)
            .create();
    for (Map.Entry<String, Simulation.PolicyFactory> policy : Policies.all().entrySet()) {
      double p99With = shortP99(Simulation.run(with, policy.getValue(), seed).results());
      double p99Without = shortP99(Simulation.run(without, policy.getValue(), seed).results());
      add(
          "short_behind_long",
          deployment,
          policy.getKey(),
          p99With / p99Without,
          "ratio",
          Bound.atMost(1.2));
    }
  }

  /** Scales the shares so that they add up to 1. */
  private static List<Scenario.TrafficShare> normalized(List<Scenario.TrafficShare> mix) {
    double sum = mix.stream().mapToDouble(Scenario.TrafficShare::share).sum();
    return mix.stream()
        .map(
            m ->
                new Scenario.TrafficShare(
                    m.workClass(), m.share() / sum, m.meanOutputTokens(), m.longOutputRatio()))
        .toList();
  }

  /**
   * Returns whether a request counts towards latency quantiles: only those after the router has
   * learned the quality of the versions do. Cost and quality count from the start.
   */
  private boolean isAfterWarmUp(RequestResult r) {
    return r.request().routingRequest().arrivalMicros() >= WARM_UP_RATIO * scaledMicros(240);
  }

  private double shortP99(List<RequestResult> results) {
    return Statistics.quantile(
        results.stream()
            .filter(r -> isAfterWarmUp(r) && SHORT_CLASSES.contains(r.workClass()))
            .mapToDouble(RequestResult::latencyMillis),
        0.99);
  }

  /** Latency with two engines that are ten times slower for 5 s of every 15 s, in turn. */
  private void measureStragglers(Deployment deployment) {
    Scenario without = scenarioFor(deployment).durationMicros(scaledMicros(240)).create();
    Scenario with =
        scenarioFor(deployment)
            .durationMicros(scaledMicros(240))
            .slowdown(
                (engine, t) -> engine < 2 && t / (5 * MICROS_PER_SECOND) % 3 == engine ? 10 : 1)
            .create();
    for (Map.Entry<String, Simulation.PolicyFactory> policy : Policies.all().entrySet()) {
      Simulation withSlow = Simulation.run(with, policy.getValue(), seed);
      double p99With = slowdownP99(with, withSlow.results());
      double p99Without =
          slowdownP99(without, Simulation.run(without, policy.getValue(), seed).results());
      String name = policy.getKey();
      add("straggler_tail", deployment, name, p99With / p99Without, "ratio", Bound.atMost(1.5));
      double moves = withSlow.results().stream().mapToInt(RequestResult::moves).sum();
      double extraRatio = moves * extraMicrosPerMove() / withSlow.busyMicros();
      add("straggler_extra_work", deployment, name, extraRatio, "share", Bound.atMost(0.02));
    }
  }

  /** Returns the work that a move repeats: the prefill and at most one chunk of tokens. */
  private static double extraMicrosPerMove() {
    return OracleBounds.serviceMicros(
        Scenario.defaultVersions().get(1), SimulatedEngine.TOKENS_PER_CHUNK);
  }

  private double slowdownP99(Scenario scenario, List<RequestResult> results) {
    return Statistics.quantile(
        results.stream()
            .filter(r -> isAfterWarmUp(r) && r.isFinished())
            .mapToDouble(r -> slowdown(scenario, r)),
        0.99);
  }

  /** Returns the ratio of the latency of a request to its service time at typical load. */
  private static double slowdown(Scenario scenario, RequestResult r) {
    VersionProfile version = scenario.version(r.version());
    double serviceMicros = OracleBounds.serviceMicros(version, r.request().outputTokens());
    return r.latencyMillis() * 1_000 / serviceMicros;
  }

  /** Returns the default versions and another one with the quality of the large version. */
  private static List<VersionProfile> withThirdVersion(String name, double microsPerToken) {
    List<VersionProfile> versions = new ArrayList<>(Scenario.defaultVersions());
    versions.add(
        new VersionProfile(
            name,
            microsPerToken,
            Map.of(
                Scenario.RETELLING, 0.93,
                Scenario.TITLE, 0.95,
                Scenario.TAG, 0.95,
                Scenario.DRAFT, 0.95)));
    return versions;
  }

  /** A version on trial that misses its quality target and costs less than the live one. */
  private void measureBadLaunch(Deployment deployment) {
    Scenario scenario =
        scenarioFor(deployment)
            .durationMicros(scaledMicros(900))
            .versions(withThirdVersion("large@2", 13_000))
            .stage("large@2", Stage.TRIAL)
            .quality(
                (v, c, t) -> v.name().equals("large@2") ? qualityTarget(c) - 0.2 : v.quality(c))
            .create();
    for (Map.Entry<String, Simulation.PolicyFactory> policy : Policies.all().entrySet()) {
      double mean = meanExposureRatio(scenario, policy, "large@2", 0, 1);
      add("exposure_launch", deployment, policy.getKey(), mean, "ratio", Bound.atMost(1.5));
    }
  }

  /** A live version whose quality drops below its target while it serves. */
  private void measureQualityDrop(Deployment deployment) {
    long dropMicros = scaledMicros(120);
    Scenario scenario =
        scenarioFor(deployment)
            .durationMicros(scaledMicros(1_500))
            .trafficMix(List.of(new Scenario.TrafficShare(Scenario.RETELLING, 1, 30, 0)))
            .versions(withThirdVersion("xlarge@1", 20_000))
            .quality(
                (v, c, t) ->
                    v.name().equals("large@1") && t >= dropMicros
                        ? qualityTarget(c) - 0.2
                        : v.quality(c))
            .create();
    for (Map.Entry<String, Simulation.PolicyFactory> policy : Policies.all().entrySet()) {
      // The router rates a fifth of the responses of a version that it knows well.
      boolean isRouter = policy.getKey().equals(Policies.ROUTER);
      double mean = meanExposureRatio(scenario, policy, "large@1", dropMicros, isRouter ? 0.2 : 1);
      add("exposure_decline", deployment, policy.getKey(), mean, "ratio", Bound.atMost(1.5));
    }
  }

  private static double qualityTarget(String workClass) {
    return Scenario.builder().create().configuration().findClass(workClass).orElseThrow().quality();
  }

  /**
   * Returns the mean exposure ratio. For the router policy it averages over several seeds, because
   * the number of ratings that it is compared with is an expected value.
   */
  private double meanExposureRatio(
      Scenario scenario,
      Map.Entry<String, Simulation.PolicyFactory> policy,
      String version,
      long badFromMicros,
      double sampleRatio) {
    int seeds = policy.getKey().equals(Policies.ROUTER) ? EXPOSURE_SEEDS : 1;
    double sum = 0;
    for (int i = 0; i < seeds; i++) {
      List<RequestResult> results = Simulation.run(scenario, policy.getValue(), seed + i).results();
      sum += exposureRatio(results, version, badFromMicros, sampleRatio);
    }
    return sum / seeds;
  }

  /**
   * Returns the ratio of the requests that the bad version served to the number that an optimal
   * test needs to detect it, for the class with the highest ratio.
   */
  private static double exposureRatio(
      List<RequestResult> results, String version, long badFrom, double sampleRatio) {
    Map<String, Integer> servedByClass = new TreeMap<>();
    for (RequestResult r : results) {
      if (r.version().equals(version) && r.request().routingRequest().arrivalMicros() >= badFrom) {
        servedByClass.merge(r.workClass(), 1, Integer::sum);
      }
    }
    double worst = 0;
    for (Map.Entry<String, Integer> e : servedByClass.entrySet()) {
      double target = qualityTarget(e.getKey());
      double needed =
          OracleBounds.minimumRatings(target, target - 0.2, RATINGS_PER_FALSE_ALARM) / sampleRatio;
      worst = Math.max(worst, e.getValue() / needed);
    }
    return worst;
  }

  /** False alarms of the quality test in 1,000 days, for versions at or just above the target. */
  private void measureFalseAlarms() {
    double days = quick ? 2_000 : 20_000;
    WorkClass workClass =
        Scenario.builder().create().configuration().findClass(Scenario.RETELLING).orElseThrow();
    for (double quality : new double[] {workClass.quality(), workClass.quality() + 0.02}) {
      Random random = new Random(seed);
      QualityTracker tracker = QualityTracker.create();
      int alarms = 0;
      for (long i = 0; i < days * RATINGS_PER_DAY; i++) {
        if (tracker.addRating(workClass, "v", VersionProfile.drawRating(quality, random))) {
          alarms++;
          tracker.reset("v");
        }
      }
      Deployment label =
          new Deployment(quality == workClass.quality() ? "at-target" : "above", 0, 0);
      add(
          "false_alarms",
          label,
          Policies.ROUTER,
          alarms * 1_000 / days,
          "per1000day",
          Bound.atMost(1));
    }
  }
}
