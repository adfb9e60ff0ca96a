package org.kumquatplank.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.routing.Action;
import org.kumquatplank.core.routing.Plan;
import org.kumquatplank.core.routing.RoutingRequest;

/**
 * Simulates one scenario under one policy and records the result of every request.
 *
 * <p>Not thread-safe.
 */
final class Simulation {
  private static final long TICK_MICROS = 20_000;
  private static final long SILENCE_CHECK_MICROS = 20_000;
  private static final long DIGEST_INTERVAL_MICROS = 250_000;

  /** Network delay until peers receive a digest. */
  private static final long DIGEST_DELAY_MICROS = 15_000;

  private static final long RATING_DELAY_MICROS = 1_000_000;

  /** Time that a cascade takes to judge the first response. */
  private static final long JUDGE_DELAY_MICROS = 100_000;

  /** Time that the simulation continues after the last arrival, for requests in flight. */
  private static final long DRAIN_MICROS = 60_000_000;

  private static final long PROMPT_TOKENS = 200;

  private final EventScheduler scheduler = new EventScheduler();
  private final Scenario scenario;
  private final Configuration configuration;
  private final Random random;
  private final List<Policy> policies = new ArrayList<>();
  private final Map<String, SimulatedEngine> engines = new HashMap<>();
  private final Map<String, RequestResult> resultById = new HashMap<>();
  private final List<RequestResult> resultsByArrival = new ArrayList<>();
  private final Map<String, ActiveRequest> activeById = new HashMap<>();
  private int nextRequestNumber;

  /** Creates the policy of one instance. */
  interface PolicyFactory {
    Policy create(int instance, Scenario scenario);
  }

  /** A request that is queued or running on an engine. */
  private record ActiveRequest(Policy policy, SimulatedEngine engine, SimulatedEngine.Job job) {}

  private Simulation(Scenario scenario, PolicyFactory policyFactory, long seed) {
    this.scenario = scenario;
    configuration = scenario.configuration();
    random = new Random(seed);
    for (int i = 0; i < scenario.engines(); i++) {
      int engineIndex = i;
      String id = "engine-" + i;
      engines.put(
          id,
          new SimulatedEngine(
              scheduler,
              id,
              Scenario.SLOTS_PER_ENGINE,
              t -> scenario.slowdown().factor(engineIndex, t)));
    }
    for (int i = 0; i < Scenario.INSTANCES; i++) {
      policies.add(policyFactory.create(i, scenario));
    }
  }

  /** Runs a scenario to its end. The same seed gives the same results. */
  static Simulation run(Scenario scenario, PolicyFactory policyFactory, long seed) {
    Simulation simulation = new Simulation(scenario, policyFactory, seed);
    simulation.runEvents();
    return simulation;
  }

  /** Returns the results of all requests in the order of arrival. */
  List<RequestResult> results() {
    return resultsByArrival;
  }

  /** Returns the time that all engines spent on requests, summed over their slots. */
  double busyMicros() {
    return engines.values().stream().mapToDouble(SimulatedEngine::busyMicros).sum();
  }

  private void runEvents() {
    long end = scenario.durationMicros();
    scheduleArrival();
    scheduler.scheduleRepeating(TICK_MICROS, end + DRAIN_MICROS, this::tick);
    scheduler.scheduleRepeating(SILENCE_CHECK_MICROS, end + DRAIN_MICROS, this::checkSilence);
    scheduler.scheduleRepeating(
        DIGEST_INTERVAL_MICROS,
        end + DRAIN_MICROS,
        () -> scheduler.schedule(DIGEST_DELAY_MICROS, this::exchangeDigests));
    scheduler.runUntil(end + DRAIN_MICROS);
  }

  private void exchangeDigests() {
    policies.forEach(p -> p.exchangeDigests(policies, scheduler.now()));
  }

  private void scheduleArrival() {
    double rate = scenario.arrivalRate().requestsPerSecond(scheduler.now());
    long gapMicros = (long) (-Math.log(1 - random.nextDouble()) / rate * 1_000_000);
    if (scheduler.now() + gapMicros > scenario.durationMicros()) {
      return;
    }
    scheduler.schedule(
        gapMicros,
        () -> {
          submitRequest();
          scheduleArrival();
        });
  }

  private void submitRequest() {
    Scenario.TrafficShare trafficShare = drawTrafficShare();
    WorkClass workClass = configuration.findClass(trafficShare.workClass()).orElseThrow();
    boolean fromFirstAccount = random.nextDouble() < scenario.firstAccountShare();
    int account = fromFirstAccount ? 0 : random.nextInt(scenario.accounts());
    // A log-normal length factor with mean 1.
    double lengthFactor = Math.exp(0.4 * random.nextGaussian() - 0.08);
    boolean longOutput = random.nextDouble() < trafficShare.longOutputRatio();
    int outputTokens =
        (int) Math.max(1, trafficShare.meanOutputTokens() * lengthFactor * (longOutput ? 8 : 1));
    int instance = random.nextInt(policies.size());
    RoutingRequest request =
        new RoutingRequest(
            "w" + nextRequestNumber++,
            "account-" + account,
            workClass,
            PROMPT_TOKENS,
            Optional.empty(),
            false,
            scheduler.now());
    SimRequest simRequest = new SimRequest(request, outputTokens, instance);
    RequestResult result = new RequestResult(simRequest);
    resultById.put(request.id(), result);
    resultsByArrival.add(result);
    execute(policies.get(instance), policies.get(instance).submit(request, scheduler.now()));
  }

  private Scenario.TrafficShare drawTrafficShare() {
    double remaining = random.nextDouble();
    for (Scenario.TrafficShare trafficShare : scenario.trafficMix()) {
      remaining -= trafficShare.share();
      if (remaining < 0) {
        return trafficShare;
      }
    }
    return scenario.trafficMix().get(scenario.trafficMix().size() - 1);
  }

  private void execute(Policy policy, List<Action> actions) {
    for (Action action : actions) {
      switch (action) {
        case Action.Send start -> start(policy, start, 0);
        case Action.Reject refuse ->
            resultById.get(originalId(refuse.request().id())).recordRejection();
        case Action.NotifyDelay delay -> {}
      }
    }
  }

  /** Returns the id that the request arrived with; the second stage of a cascade adds a suffix. */
  private static String originalId(String requestId) {
    return requestId.endsWith("-2") ? requestId.substring(0, requestId.length() - 2) : requestId;
  }

  private void start(Policy policy, Action.Send start, int generatedTokens) {
    RequestResult result = resultById.get(originalId(start.request().id()));
    SimulatedEngine engine = engines.get(start.backend());
    VersionProfile version = scenario.version(start.plan().firstVersion());
    SimulatedEngine.Job job =
        new SimulatedEngine.Job(
            result.request(), version, generatedTokens, listener(policy, start), scheduler.now());
    activeById.put(start.request().id(), new ActiveRequest(policy, engine, job));
    engine.submit(job);
  }

  private SimulatedEngine.Listener listener(Policy policy, Action.Send start) {
    String id = start.request().id();
    boolean isCascade = start.plan() instanceof Plan.Cascade;
    return new SimulatedEngine.Listener() {
      @Override
      public void onTokens(SimulatedEngine.Job job, int count, double microsPerToken) {
        if (job.generatedTokens() == 1) {
          policy.onFirstToken(id, scheduler.now());
        } else if (count > 1) {
          policy.onTokens(id, microsPerToken, scheduler.now());
        }
        // The caller sees nothing of the first stage of a cascade until it is judged.
        if (!isCascade) {
          resultById.get(originalId(id)).recordFirstToken(scheduler.now());
        }
      }

      @Override
      public void onFinished(SimulatedEngine.Job job) {
        activeById.remove(id);
        completeJob(policy, start, job);
      }
    };
  }

  private void completeJob(Policy policy, Action.Send start, SimulatedEngine.Job job) {
    RoutingRequest request = start.request();
    String version = start.plan().firstVersion();
    RequestResult result = resultById.get(originalId(request.id()));
    double meanRating =
        scenario.quality().quality(job.version, result.workClass(), scheduler.now());
    double rating = VersionProfile.drawRating(meanRating, random);
    ModelVersion modelVersion = configuration.findVersion(version).orElseThrow();
    result.recordRun(
        version, modelVersion.costMicros(PROMPT_TOKENS, result.request().outputTokens()), rating);
    if (start.plan() instanceof Plan.Cascade cascade && rating < cascade.minRating()) {
      scheduler.schedule(JUDGE_DELAY_MICROS, () -> submitSecondStage(policy, request, cascade));
    } else {
      result.recordFirstToken(scheduler.now());
      result.recordFinish(scheduler.now());
    }
    scheduleRating(policy, start, version, rating);
    execute(
        policy, policy.onFinished(request.id(), result.request().outputTokens(), scheduler.now()));
  }

  /** Submits the second stage of a cascade, pinned to its better version. */
  private void submitSecondStage(Policy policy, RoutingRequest first, Plan.Cascade cascade) {
    RoutingRequest request =
        new RoutingRequest(
            first.id() + "-2",
            first.account(),
            first.workClass(),
            first.promptTokens(),
            Optional.of(cascade.secondVersion()),
            false,
            first.arrivalMicros());
    execute(policy, policy.submit(request, scheduler.now()));
  }

  private void scheduleRating(Policy policy, Action.Send start, String version, double rating) {
    boolean trial = start.plan() instanceof Plan.Single single && single.trial();
    boolean cascade = start.plan() instanceof Plan.Cascade;
    if (!cascade
        && random.nextDouble() >= policy.ratingSampleRatio(start.request(), version, trial)) {
      return;
    }
    scheduler.schedule(
        RATING_DELAY_MICROS,
        () -> {
          policies.forEach(p -> p.addRating(start.request().workClass().name(), version, rating));
          policy.onRatingDone(start.request(), version);
        });
  }

  private void tick() {
    policies.forEach(p -> execute(p, p.tick(scheduler.now())));
  }

  private void checkSilence() {
    for (Map.Entry<String, ActiveRequest> entry : List.copyOf(activeById.entrySet())) {
      ActiveRequest request = entry.getValue();
      long silentMicros = scheduler.now() - request.job.lastTokenTime(scheduler.now());
      Optional<Action.Send> move =
          request.policy.checkSilence(entry.getKey(), silentMicros, scheduler.now());
      if (move.isPresent()) {
        request.engine.cancel(request.job);
        resultById.get(originalId(entry.getKey())).recordMove();
        start(request.policy, move.get(), request.job.generatedTokens());
      }
    }
  }
}
