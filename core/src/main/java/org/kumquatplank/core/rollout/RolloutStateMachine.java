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
   * Steps that include sessions, by progress. Sessions keep their version in the first half of the
   * rollout. If nearly all requests belong to sessions, the first of these steps is the first to
   * yield evidence on the new version, so its share is as small as that of the trial.
   */
  private static final List<Step> STEPS =
      List.of(new Step(0.505, TRIAL_SHARE), new Step(0.55, 0.18), new Step(0.585, 0.45));

  /** Progress from which all requests go to the new version. */
  private static final double ALL_REQUESTS_PROGRESS = 0.62;

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

  private final RolloutOrder order;
  private final Map<String, VersionStats> targetBySource = new HashMap<>();
  private final Map<String, VersionStats> othersBySource = new HashMap<>();
  private long startedAt;
  private boolean rolledBack;
  private boolean completed;

  /** A share of the requests that goes to the new version from a given progress on. */
  private record Step(double fromProgress, double share) {}

  private RolloutStateMachine(RolloutOrder order, long startedAt) {
    this.order = order;
    this.startedAt = startedAt;
  }

  /**
   * Returns the state machine for an order.
   *
   * @param startedAt time at which the order was given, microseconds
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
    return fails || slow;
  }

  private static VersionStats sum(Map<String, VersionStats> bySource) {
    return bySource.values().stream().reduce(VersionStats.NONE, VersionStats::plus);
  }

  private double progress(long now) {
    return (now - startedAt) / (1_000.0 * Math.max(1, order.durationMillis()));
  }

  /** Returns the rule for the versions that may get requests now. */
  public VersionRule rule(long now) {
    if (rolledBack) {
      return new VersionRule.Except(order.targetVersion());
    }
    double progress = progress(now);
    if (completed || progress >= ALL_REQUESTS_PROGRESS) {
      return new VersionRule.Only(order.targetVersion());
    }
    VersionRule.Trial trial = new VersionRule.Trial(order.targetVersion(), TRIAL_SHARE, false);
    for (Step step : STEPS) {
      if (progress >= step.fromProgress()) {
        trial = new VersionRule.Trial(order.targetVersion(), step.share(), true);
      }
    }
    return trial;
  }

  /** Returns the current phase. */
  public Phase phase(long now) {
    if (completed) {
      return Phase.COMPLETED;
    }
    if (rolledBack) {
      return Phase.WITHDRAWN;
    }
    double progress = progress(now);
    boolean idle = progress >= MIN_COMPLETION_PROGRESS && sum(othersBySource).inFlight() == 0;
    return idle || progress >= MAX_COMPLETION_PROGRESS ? Phase.MAY_COMPLETE : Phase.RUNNING;
  }
}
