package org.kumquatplank.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * State machine of one rollout: a small trial, increasing shares, all requests, or a rollback.
 *
 * <p>Every instance tracks every rollout with the same evidence and reaches the same state without
 * coordination. Not thread-safe.
 */
public final class RolloutStateMachine {
  /** Share of the requests in the trial; well below the allowed exposure. */
  private static final double TRIAL_SHARE = 0.06;

  /**
   * Steps by progress. Sessions keep their version in the first half of the rollout. If nearly all
   * requests belong to sessions, the first step that includes them is the first to yield evidence
   * on the new version, so its share is as small as that of the trial. The steps after it need
   * proof.
   */
  private static final List<Step> STEPS =
      List.of(
          new Step(0, TRIAL_SHARE, false, false),
          new Step(0.505, TRIAL_SHARE, true, false),
          new Step(0.55, 0.18, true, true),
          new Step(0.585, 0.45, true, true),
          new Step(0.62, 1, true, true));

  /** Least progress between two steps, if proof came late. */
  private static final double MIN_STEP_PROGRESS = 0.02;

  /**
   * Progress from which a version that got fewer requests than a proof takes may advance without
   * one, if the traffic of the service is known to be that low.
   */
  private static final double UNPROVEN_PROGRESS = 0.70;

  /** Share of the duration for which traffic must be observed to be known as low. */
  private static final double MIN_OBSERVED_PROGRESS = 0.25;

  /** Time from a send until its result is known to most instances, microseconds. */
  private static final double EVIDENCE_DELAY_MICROS = 2_000_000;

  /**
   * Number of expected requests from which a version that has no proof did not get its share: with
   * a Poisson distribution fewer than half of them are rare.
   */
  private static final double MIN_EXPECTED_REQUESTS = 12;

  /** Progress from which the rollout may complete if the old version has no in-flight requests. */
  private static final double MIN_COMPLETION_PROGRESS = 0.70;

  /** Progress from which the rollout may complete regardless of in-flight requests. */
  private static final double MAX_COMPLETION_PROGRESS = 0.86;

  /** Failures needed for a rollback; fewer may be chance or a crash. */
  private static final int MIN_FAILURES = 4;

  /** Failure ratio of the new version that is tolerated in any case. */
  private static final double MAX_FAILURE_RATIO = 0.08;

  /** Tolerated multiple of the failure ratio of the other versions. */
  private static final double MAX_FAILURE_FACTOR = 3;

  /** Complete responses of each side that are needed to compare their time per unit. */
  private static final int MIN_PACE_SAMPLES = 6;

  /** Tolerated multiple of the time per unit of output of the other versions. */
  private static final double MAX_PACE_FACTOR = 3;

  /**
   * Slow responses needed for a rollback. Many instances judge by different parts of the evidence,
   * and any of them rolls back for all, so that a few may be chance.
   */
  private static final int MIN_SLOW = 5;

  /** Ratio of slow responses of the new version that does not cause a rollback in any case. */
  private static final double MAX_SLOW_RATIO = 0.25;

  /**
   * The same when all requests go to the new version: its servers may have more load than the
   * others had, which makes responses of a good version slow too.
   */
  private static final double MAX_SLOW_RATIO_OF_ALL = 0.5;

  /** Multiple of the ratio of slow responses of the other versions that causes no rollback. */
  private static final double MAX_SLOW_FACTOR = 3;

  /**
   * Ratio of slow responses, and multiple of that of the other versions, with which a version still
   * proves good. Lower than those of a rollback: between them, the trial goes on with its share.
   */
  private static final double MAX_PROVEN_SLOW_RATIO = 0.15;

  private static final double MAX_PROVEN_SLOW_FACTOR = 1.5;

  private final RolloutOrder order;
  private final long observedSince;
  private final Map<String, VersionStats> targetBySource = new HashMap<>();
  private final Map<String, VersionStats> othersBySource = new HashMap<>();
  private long startedAt;
  private boolean rolledBack;
  private boolean completed;
  private int step;
  private double lastStepProgress;
  private long lastStepAt;
  private double sessionShareMicros;

  /**
   * A share of the requests that goes to the new version from a given progress on.
   *
   * @param fromProgress progress of the rollout, 0 to 1
   * @param share share of the requests, 0 to 1
   * @param includesSessions whether requests of a session may move to the new version
   * @param needsProof whether the step needs complete responses that show no fault
   */
  private record Step(
      double fromProgress, double share, boolean includesSessions, boolean needsProof) {}

  private RolloutStateMachine(RolloutOrder order, long startedAt) {
    this.order = order;
    this.startedAt = startedAt;
    this.observedSince = startedAt;
    this.lastStepAt = startedAt;
  }

  /**
   * Returns the state machine for an order.
   *
   * @param startedAt time from which this instance observes the rollout, microseconds; the start of
   *     the rollout unless {@link #extendElapsed} moves that back
   */
  public static RolloutStateMachine create(RolloutOrder order, long startedAt) {
    return new RolloutStateMachine(order, startedAt);
  }

  /** Phase of a rollout. */
  public enum Phase {
    /** The rollout is in progress. */
    RUNNING,
    /** All requests go to the new version, and the old one is idle or its time is up. */
    MAY_COMPLETE,
    /** The new version is bad and is rolled back. */
    WITHDRAWN,
    /** The rollout is recorded as completed. */
    COMPLETED
  }

  public RolloutOrder order() {
    return order;
  }

  /**
   * Replaces the evidence of one instance and rolls back if the total shows a bad version.
   *
   * <p>The counts of an instance never decrease during a rollout.
   *
   * @param source instance that counted
   * @param target evidence on the target version
   * @param others evidence on the other versions
   */
  public void updateStats(String source, VersionStats target, VersionStats others) {
    targetBySource.put(source, target);
    othersBySource.put(source, others);
    if (!rolledBack && !completed && isBad()) {
      rolledBack = true;
    }
  }

  /** Moves the start back if a peer reports a longer run time, microseconds. */
  public void extendElapsed(long micros, long now) {
    startedAt = Math.min(startedAt, now - micros);
  }

  /** Returns the time since the start, microseconds. */
  public long elapsedMicros(long now) {
    return now - startedAt;
  }

  /** Rolls back, after a peer found the version bad or the store recorded it, unless completed. */
  public void rollBack() {
    rolledBack = !completed;
  }

  /** Marks the rollout as completed, as recorded in the store. */
  public void markCompleted() {
    completed = true;
    rolledBack = false;
  }

  private boolean isBad() {
    VersionStats target = sum(targetBySource);
    VersionStats others = sum(othersBySource);
    double maxFailureRatio =
        Math.max(MAX_FAILURE_RATIO, MAX_FAILURE_FACTOR * others.failureRatio());
    boolean fails = target.failed() >= MIN_FAILURES && target.failureRatio() > maxFailureRatio;
    boolean slow =
        target.succeeded() >= MIN_PACE_SAMPLES
            && others.succeeded() >= MIN_PACE_SAMPLES
            && target.meanMillisPerUnit() > MAX_PACE_FACTOR * others.meanMillisPerUnit();
    double maxSlowRatio = hasTakenAllSteps() ? MAX_SLOW_RATIO_OF_ALL : MAX_SLOW_RATIO;
    boolean oftenSlow =
        target.slowCount() >= MIN_SLOW
            && !target.isSlowAtMost(maxSlowRatio, MAX_SLOW_FACTOR, others);
    return fails || slow || oftenSlow;
  }

  /** Returns whether a step may be taken that needs proof. */
  private boolean mayTakeProvenStep(Step next, long now) {
    double progress = progress(now);
    VersionStats target = sum(targetBySource);
    if (target.requestCount() < MIN_PACE_SAMPLES) {
      return progress >= UNPROVEN_PROGRESS
          && isTrafficLow(now)
          && requestsPerMicro(now) * next.share() * EVIDENCE_DELAY_MICROS < MIN_PACE_SAMPLES;
    }
    return target.succeeded() >= MIN_PACE_SAMPLES
        && target.isSlowAtMost(MAX_PROVEN_SLOW_RATIO, MAX_PROVEN_SLOW_FACTOR, sum(othersBySource))
        && progress >= lastStepProgress + MIN_STEP_PROGRESS;
  }

  /**
   * Returns whether the new version got fewer requests than a proof takes because few reach the
   * service, and not because this instance has seen little or the version has no servers.
   */
  private boolean isTrafficLow(long now) {
    return now - observedSince >= MIN_OBSERVED_PROGRESS * durationMicros()
        && requestsPerMicro(now) * sessionShareMicros(now) < MIN_EXPECTED_REQUESTS;
  }

  /** Returns the rate at which requests reach the service, as far as it is observed. */
  private double requestsPerMicro(long now) {
    int requests = sum(targetBySource).requestCount() + sum(othersBySource).requestCount();
    return requests / (double) Math.max(1, now - observedSince);
  }

  /** Returns the observed time in which sessions could move, weighted by the share that did. */
  private double sessionShareMicros(long now) {
    Step current = STEPS.get(step);
    return sessionShareMicros
        + (current.includesSessions() ? current.share() * (now - lastStepAt) : 0);
  }

  private void takeSteps(long now) {
    double progress = progress(now);
    while (step + 1 < STEPS.size()) {
      Step next = STEPS.get(step + 1);
      boolean due = progress >= next.fromProgress();
      if (!due || (next.needsProof() && !mayTakeProvenStep(next, now))) {
        return;
      }
      setStep(step + 1, now);
    }
  }

  private void setStep(int newStep, long now) {
    sessionShareMicros = sessionShareMicros(now);
    step = newStep;
    lastStepProgress = progress(now);
    lastStepAt = now;
  }

  /** Takes the steps that a peer has taken; a rollback stays in force. */
  public void catchUp(int peerStep, long now) {
    if (peerStep > step) {
      setStep(Math.min(peerStep, STEPS.size() - 1), now);
    }
  }

  /** Returns the number of steps that were taken. */
  public int step() {
    return step;
  }

  private boolean hasTakenAllSteps() {
    return step == STEPS.size() - 1;
  }

  /** Returns the evidence of all instances on the target version. */
  public VersionStats targetStats() {
    return sum(targetBySource);
  }

  /** Returns the evidence of all instances on the other versions. */
  public VersionStats otherStats() {
    return sum(othersBySource);
  }

  private static VersionStats sum(Map<String, VersionStats> bySource) {
    return bySource.values().stream().reduce(VersionStats.NONE, VersionStats::plus);
  }

  private double progress(long now) {
    return (now - startedAt) / durationMicros();
  }

  private double durationMicros() {
    return 1_000.0 * Math.max(1, order.durationMillis());
  }

  /** Returns the rule for the versions that may get requests now. */
  public VersionRule rule(long now) {
    if (rolledBack) {
      return new VersionRule.Except(order.targetVersion());
    }
    takeSteps(now);
    if (completed || hasTakenAllSteps()) {
      return new VersionRule.Only(order.targetVersion());
    }
    Step current = STEPS.get(step);
    return new VersionRule.Trial(
        order.targetVersion(), current.share(), current.includesSessions());
  }

  /** Returns the current phase. */
  public Phase phase(long now) {
    if (completed) {
      return Phase.COMPLETED;
    }
    if (rolledBack) {
      return Phase.WITHDRAWN;
    }
    takeSteps(now);
    double progress = progress(now);
    boolean idle = progress >= MIN_COMPLETION_PROGRESS && sum(othersBySource).inFlight() == 0;
    boolean timeIsUp = progress >= MAX_COMPLETION_PROGRESS;
    boolean ended = hasTakenAllSteps() && (idle || timeIsUp);
    return ended && isProven(now) ? Phase.MAY_COMPLETE : Phase.RUNNING;
  }

  /** Returns whether the new version has complete responses, or gets hardly any requests. */
  private boolean isProven(long now) {
    if (sum(targetBySource).succeeded() >= MIN_PACE_SAMPLES) {
      return true;
    }
    boolean evidenceIsDue = now - lastStepAt >= EVIDENCE_DELAY_MICROS;
    boolean hasHardlyTraffic = requestsPerMicro(now) * EVIDENCE_DELAY_MICROS < 1;
    return isTrafficLow(now) && (evidenceIsDue || hasHardlyTraffic);
  }
}
