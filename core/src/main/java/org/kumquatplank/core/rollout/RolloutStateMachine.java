package org.kumquatplank.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * Takes one roll-out through its steps: a small trial, then more, then all, or back.
 *
 * <p>Every instance tracks every roll-out with the same evidence and so comes to the same steps
 * without asking. Not thread-safe.
 */
public final class RolloutStateMachine {
  /** Part of the requests in the trial: well under the exposure that is allowed. */
  private static final double TRIAL_SHARE = 0.06;

  /**
   * Steps at which sessions may move, by part of the time. Sessions keep their version in the first
   * half. Where nearly all work belongs to sessions, the first of these steps is the first that
   * shows how the version is, so it is as small as the trial.
   */
  private static final List<Step> STEPS =
      List.of(new Step(0.505, TRIAL_SHARE), new Step(0.55, 0.18), new Step(0.585, 0.45));

  /** Parts of the time after which all, and the end follow. */
  private static final double ALL_STEP = 0.62;

  private static final double FIRST_END = 0.70;
  private static final double LAST_END = 0.86;

  /** Fewer failures may be chance or a crash. */
  private static final int LEAST_BAD = 4;

  private static final double MOST_BAD_SHARE = 0.08;
  private static final double BAD_RATIO = 3;
  private static final int LEAST_PACED = 6;
  private static final double SLOW_RATIO = 3;

  private final RolloutOrder order;
  private final Map<String, Evidence> targetBySource = new HashMap<>();
  private final Map<String, Evidence> restBySource = new HashMap<>();
  private long startedAt;
  private boolean withdrawn;
  private boolean completed;

  /** From a part of the time on, a part of the requests goes to the new version. */
  private record Step(double from, double share) {}

  private RolloutStateMachine(RolloutOrder order, long startedAt) {
    this.order = order;
    this.startedAt = startedAt;
  }

  /**
   * Returns the state machine of an order.
   *
   * @param startedAt when the order was given, microseconds
   */
  public static RolloutStateMachine create(RolloutOrder order, long startedAt) {
    return new RolloutStateMachine(order, startedAt);
  }

  /** What has to be done now. */
  public enum Phase {
    /** The roll-out goes on. */
    RUNNING,
    /** All work is on the new version and the old one has none left. */
    MAY_COMPLETE,
    /** The new version is bad. */
    WITHDRAWN,
    /** It is recorded as completed. */
    COMPLETED
  }

  /** Returns the order. */
  public RolloutOrder order() {
    return order;
  }

  /** Takes in what an instance has counted; figures only grow. */
  public void setEvidence(String source, Evidence target, Evidence rest) {
    targetBySource.put(source, target);
    restBySource.put(source, rest);
    if (!withdrawn && !completed && isBad()) {
      withdrawn = true;
    }
  }

  /** Notes that it has been running for that long, as another instance says. */
  public void ranFor(long micros, long now) {
    startedAt = Math.min(startedAt, now - micros);
  }

  /** Returns how long it has been running, microseconds. */
  public long elapsed(long now) {
    return now - startedAt;
  }

  /** Notes that an instance found the version bad, or that this is recorded. */
  public void withdraw() {
    withdrawn = !completed;
  }

  /** Notes that it is recorded as completed. */
  public void complete() {
    completed = true;
    withdrawn = false;
  }

  private boolean isBad() {
    Evidence target = sum(targetBySource);
    Evidence rest = sum(restBySource);
    double most = Math.max(MOST_BAD_SHARE, BAD_RATIO * rest.badShare());
    boolean fails = target.bad() >= LEAST_BAD && target.badShare() > most;
    boolean slow =
        target.good() >= LEAST_PACED
            && rest.good() >= LEAST_PACED
            && target.meanPace() > SLOW_RATIO * rest.meanPace();
    return fails || slow;
  }

  private static Evidence sum(Map<String, Evidence> bySource) {
    return bySource.values().stream().reduce(Evidence.NONE, Evidence::plus);
  }

  private double progress(long now) {
    return (now - startedAt) / (1_000.0 * Math.max(1, order.durationMillis()));
  }

  /** Returns which versions may get work now. */
  public VersionRule rule(long now) {
    if (withdrawn) {
      return new VersionRule.Except(order.target());
    }
    double progress = progress(now);
    if (completed || progress >= ALL_STEP) {
      return new VersionRule.Only(order.target());
    }
    VersionRule.Trial trial = new VersionRule.Trial(order.target(), TRIAL_SHARE, false);
    for (Step step : STEPS) {
      if (progress >= step.from()) {
        trial = new VersionRule.Trial(order.target(), step.share(), true);
      }
    }
    return trial;
  }

  /** Returns what has to be done now. */
  public Phase phase(long now) {
    if (completed) {
      return Phase.COMPLETED;
    }
    if (withdrawn) {
      return Phase.WITHDRAWN;
    }
    double progress = progress(now);
    boolean idle = progress >= FIRST_END && sum(restBySource).open() == 0;
    return idle || progress >= LAST_END ? Phase.MAY_COMPLETE : Phase.RUNNING;
  }
}
