package org.kumquatplank.edge;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.kumquatplank.core.catalog.RolloutOrder;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.rollout.RolloutStateMachine;
import org.kumquatplank.core.rollout.VersionStats;
import org.kumquatplank.platform.wire.RolloutStatus;

/**
 * A roll-out, the positions of its order, and what the store has of its status.
 *
 * <p>An order that was lost and written again has another position in the new era; it remains the
 * same roll-out. Confined to the control thread.
 */
final class TrackedRollout {
  private final RolloutStateMachine machine;
  private final Map<VersionCounts.Key, VersionStats> baseline;
  private final boolean isNew;
  private final Set<LogPosition> earlierPositions = new HashSet<>();
  private LogPosition position;
  private long startedMillis = System.currentTimeMillis();
  private Optional<RolloutStatus.State> recorded = Optional.empty();
  private OptionalLong outcomeSince = OptionalLong.empty();
  private Optional<Progress> loggedProgress = Optional.empty();

  private TrackedRollout(
      RolloutOrder order, boolean isNew, Map<VersionCounts.Key, VersionStats> baseline, long now) {
    this.machine = RolloutStateMachine.create(order, now);
    this.position = order.position();
    this.isNew = isNew;
    this.baseline = baseline;
  }

  /** Phase and steps of a roll-out. */
  private record Progress(RolloutStateMachine.Phase phase, int step) {}

  /**
   * Returns a roll-out that begins.
   *
   * @param isNew whether the order was given while this instance ran
   * @param baseline evidence from before the order
   */
  static TrackedRollout begin(
      RolloutOrder order, boolean isNew, Map<VersionCounts.Key, VersionStats> baseline, long now) {
    return new TrackedRollout(order, isNew, baseline, now);
  }

  RolloutStateMachine machine() {
    return machine;
  }

  String service() {
    return machine.order().service();
  }

  /** Returns the evidence from before the order. */
  Map<VersionCounts.Key, VersionStats> baseline() {
    return baseline;
  }

  /** Returns the position of the order in the newest era in which it was seen. */
  LogPosition position() {
    return position;
  }

  /** Returns whether an order of a later era is this one, written again or kept by the copy. */
  boolean isRepeatedBy(RolloutOrder order) {
    return position.isReplacedBy(order.position())
        && machine.order().targetVersion().equals(order.targetVersion())
        && machine.order().durationMillis() == order.durationMillis();
  }

  /** Records the position that the order has in a later era. */
  void moveTo(LogPosition newPosition) {
    earlierPositions.add(position);
    position = newPosition;
  }

  /** Returns whether this roll-out has or had a position. */
  boolean isAt(LogPosition other) {
    return position.denotesSameAs(other) || earlierPositions.contains(other);
  }

  /**
   * Returns whether a recorded status is of this roll-out.
   *
   * <p>An instance that started after a restore does not know the earlier position of the order; it
   * goes by the target.
   */
  boolean isOf(RolloutStatus status) {
    LogPosition recordedAt = status.orderPosition();
    boolean mayHaveMoved =
        !isNew && earlierPositions.isEmpty() && recordedAt.isReplacedBy(position);
    return isAt(recordedAt)
        || (mayHaveMoved && status.targetVersion().equals(machine.order().targetVersion()));
  }

  /** Returns when the order was first seen, Unix milliseconds. */
  long startedMillis() {
    return startedMillis;
  }

  void setStartedMillis(long millis) {
    startedMillis = millis;
  }

  /** Takes over the state that the store has, also where the evidence here says otherwise. */
  void setRecorded(RolloutStatus.State state) {
    recorded = Optional.of(state);
    switch (state) {
      case RUNNING -> {}
      case COMPLETED -> machine.markCompleted();
      case ROLLED_BACK -> machine.rollBack();
    }
  }

  /** Forgets what the store has, as it has come back from an older copy. */
  void forgetRecorded() {
    recorded = Optional.empty();
    outcomeSince = OptionalLong.empty();
  }

  boolean isRecorded(RolloutStatus.State state) {
    return recorded.equals(Optional.of(state));
  }

  boolean hasRecordedOutcome() {
    return recorded.isPresent() && !isRecorded(RolloutStatus.State.RUNNING);
  }

  /** Returns since when this instance has known the outcome, microseconds. */
  long outcomeSince(long now) {
    if (outcomeSince.isEmpty()) {
      outcomeSince = OptionalLong.of(now);
    }
    return outcomeSince.getAsLong();
  }

  /** Logs phase and steps if they have changed. */
  void logProgress(long now) {
    Progress progress = new Progress(machine.phase(now), machine.step());
    if (loggedProgress.equals(Optional.of(progress))) {
      return;
    }
    loggedProgress = Optional.of(progress);
    EdgeLog.event("rollout_progress")
        .addKeyValue("service", service())
        .addKeyValue("order", position)
        .addKeyValue("elapsed_ms", machine.elapsedMicros(now) / 1_000)
        .addKeyValue("phase", progress.phase())
        .addKeyValue("step", progress.step())
        .addKeyValue("target", machine.targetStats())
        .addKeyValue("others", machine.otherStats())
        .log();
  }
}
