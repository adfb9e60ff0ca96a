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

/** Plays one scenario under one policy and keeps what became of each request. Not thread-safe. */
final class Experiment {
  private static final long TICK = 20_000;
  private static final long WATCH = 20_000;
  private static final long GOSSIP = 250_000;
  private static final long GOSSIP_DELAY = 15_000;
  private static final long RATING_DELAY = 1_000_000;
  private static final long JUDGE_DELAY = 100_000;
  private static final long DRAIN = 60_000_000;
  private static final long PROMPT_TOKENS = 200;

  private final EventLoop loop = new EventLoop();
  private final Scenario scenario;
  private final Configuration configuration;
  private final Random random;
  private final List<Policy> policies = new ArrayList<>();
  private final Map<String, FakeEngine> engines = new HashMap<>();
  private final Map<String, Result> results = new HashMap<>();
  private final List<Result> order = new ArrayList<>();
  private final Map<String, Active> active = new HashMap<>();
  private int numbers;

  /** Makes the policy of one instance. */
  interface Maker {
    Policy make(int instance, Scenario scenario);
  }

  /** A request at an engine. */
  private record Active(Policy policy, FakeEngine engine, FakeEngine.Job job) {}

  private Experiment(Scenario scenario, Maker maker, long seed) {
    this.scenario = scenario;
    configuration = scenario.configuration();
    random = new Random(seed);
    for (int i = 0; i < scenario.engines(); i++) {
      int number = i;
      String id = "engine-" + i;
      engines.put(
          id, new FakeEngine(loop, id, Scenario.SLOTS, t -> scenario.slowness().factor(number, t)));
    }
    for (int i = 0; i < Scenario.INSTANCES; i++) {
      policies.add(maker.make(i, scenario));
    }
  }

  /** Plays the scenario; all randomness comes from the seed. */
  static Experiment play(Scenario scenario, Maker maker, long seed) {
    Experiment experiment = new Experiment(scenario, maker, seed);
    experiment.run();
    return experiment;
  }

  List<Result> results() {
    return order;
  }

  double busyMicros() {
    return engines.values().stream().mapToDouble(FakeEngine::busyMicros).sum();
  }

  private void run() {
    long end = scenario.duration();
    scheduleArrival();
    loop.every(TICK, end + DRAIN, this::tick);
    loop.every(WATCH, end + DRAIN, this::watch);
    loop.every(GOSSIP, end + DRAIN, () -> loop.after(GOSSIP_DELAY, this::exchange));
    loop.runUntil(end + DRAIN);
  }

  private void exchange() {
    policies.forEach(p -> p.exchange(policies, loop.now()));
  }

  private void scheduleArrival() {
    double rate = scenario.rate().perSecond(loop.now());
    long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * 1_000_000);
    if (loop.now() + gap > scenario.duration()) {
      return;
    }
    loop.after(
        gap,
        () -> {
          arrive();
          scheduleArrival();
        });
  }

  private void arrive() {
    Scenario.Mix part = drawPart();
    WorkClass workClass = configuration.findClass(part.workClass()).orElseThrow();
    boolean greedy = random.nextDouble() < scenario.greedyShare();
    int account = greedy ? 0 : random.nextInt(scenario.accounts());
    double spread = Math.exp(0.4 * random.nextGaussian() - 0.08);
    boolean outlier = random.nextDouble() < part.longShare();
    int tokens = (int) Math.max(1, part.meanTokens() * spread * (outlier ? 8 : 1));
    int instance = random.nextInt(policies.size());
    RoutingRequest request =
        new RoutingRequest(
            "w" + numbers++,
            "account-" + account,
            workClass,
            PROMPT_TOKENS,
            Optional.empty(),
            false,
            loop.now());
    SimRequest simRequest = new SimRequest(request, tokens, instance);
    Result result = new Result(simRequest);
    results.put(request.id(), result);
    order.add(result);
    carryOut(policies.get(instance), policies.get(instance).submit(request, loop.now()));
  }

  private Scenario.Mix drawPart() {
    double point = random.nextDouble();
    for (Scenario.Mix part : scenario.mix()) {
      point -= part.share();
      if (point < 0) {
        return part;
      }
    }
    return scenario.mix().get(scenario.mix().size() - 1);
  }

  private void carryOut(Policy policy, List<Action> actions) {
    for (Action action : actions) {
      switch (action) {
        case Action.Start start -> start(policy, start, 0);
        case Action.Refuse refuse -> results.get(baseId(refuse.request().id())).refuse();
        case Action.Delay delay -> {}
      }
    }
  }

  private static String baseId(String workId) {
    return workId.endsWith("-2") ? workId.substring(0, workId.length() - 2) : workId;
  }

  private void start(Policy policy, Action.Start start, int done) {
    Result result = results.get(baseId(start.request().id()));
    FakeEngine engine = engines.get(start.backend());
    VersionProfile version = scenario.version(start.plan().first());
    FakeEngine.Job job =
        new FakeEngine.Job(result.request(), version, done, listener(policy, start), loop.now());
    active.put(start.request().id(), new Active(policy, engine, job));
    engine.submit(job);
  }

  private FakeEngine.Listener listener(Policy policy, Action.Start start) {
    String id = start.request().id();
    boolean judged = start.plan() instanceof Plan.Cascade;
    return new FakeEngine.Listener() {
      @Override
      public void tokens(FakeEngine.Job job, int count, double pace) {
        if (job.done() == 1) {
          policy.firstToken(id, loop.now());
        } else if (count > 1) {
          policy.tokens(id, pace, loop.now());
        }
        if (!judged) {
          results.get(baseId(id)).firstToken(loop.now());
        }
      }

      @Override
      public void finished(FakeEngine.Job job) {
        active.remove(id);
        ended(policy, start, job);
      }
    };
  }

  private void ended(Policy policy, Action.Start start, FakeEngine.Job job) {
    RoutingRequest request = start.request();
    String version = start.plan().first();
    Result result = results.get(baseId(request.id()));
    double truth = scenario.quality().quality(job.version, result.workClass(), loop.now());
    double rating = VersionProfile.draw(truth, random);
    ModelVersion priced = configuration.findVersion(version).orElseThrow();
    result.ran(version, priced.costMicros(PROMPT_TOKENS, result.request().tokens()), rating);
    if (start.plan() instanceof Plan.Cascade cascade && rating < cascade.threshold()) {
      loop.after(JUDGE_DELAY, () -> second(policy, request, cascade));
    } else {
      result.firstToken(loop.now());
      result.finish(loop.now());
    }
    rate(policy, start, version, rating);
    carryOut(policy, policy.finished(request.id(), result.request().tokens(), loop.now()));
  }

  private void second(Policy policy, RoutingRequest first, Plan.Cascade cascade) {
    RoutingRequest request =
        new RoutingRequest(
            first.id() + "-2",
            first.account(),
            first.workClass(),
            first.promptTokens(),
            Optional.of(cascade.second()),
            false,
            first.arrived());
    carryOut(policy, policy.submit(request, loop.now()));
  }

  private void rate(Policy policy, Action.Start start, String version, double rating) {
    boolean trial = start.plan() instanceof Plan.Single single && single.trial();
    boolean cascade = start.plan() instanceof Plan.Cascade;
    if (!cascade && random.nextDouble() >= policy.ratedShare(start.request(), version, trial)) {
      return;
    }
    loop.after(
        RATING_DELAY,
        () -> {
          policies.forEach(p -> p.rated(start.request().workClass().name(), version, rating));
          policy.ratingDone(start.request(), version);
        });
  }

  private void tick() {
    policies.forEach(p -> carryOut(p, p.tick(loop.now())));
  }

  private void watch() {
    for (Map.Entry<String, Active> entry : List.copyOf(active.entrySet())) {
      Active a = entry.getValue();
      long silent = loop.now() - a.job.lastProgress(loop.now());
      Optional<Action.Start> move = a.policy.watch(entry.getKey(), silent, loop.now());
      if (move.isPresent()) {
        a.engine.cancel(a.job);
        results.get(baseId(entry.getKey())).moved();
        start(a.policy, move.get(), a.job.done());
      }
    }
  }
}
