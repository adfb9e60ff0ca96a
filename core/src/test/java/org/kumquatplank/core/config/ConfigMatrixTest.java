package org.kumquatplank.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.config.ConfigReducer.ApplyResult;
import org.kumquatplank.core.config.ConfigSimulation.Follower;

/**
 * All instances agree on the configuration despite concurrent publications, lost responses,
 * replaced instances and retention. For each check, a faulty variant of the implementation shows
 * that the check detects a violation.
 */
class ConfigMatrixTest {
  private static final long SCHEDULES = 4_000;

  @Example
  void testInstancesNeverRevertOrDiverge() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      assertThat(ConfigSimulation.runSchedule(seed, RealFollower::new))
          .as("seed %d", seed)
          .isEmpty();
    }
  }

  @Example
  void testLastWriterWinsIsDetected() {
    assertThat(ConfigSimulation.firstFailingSeed(LastWriterWins::new, SCHEDULES)).isEqualTo(0);
  }

  @Example
  void testAdoptingAnyPeerStateIsDetected() {
    assertThat(ConfigSimulation.firstFailingSeed(AdoptsAnyPeerState::new, SCHEDULES)).isEqualTo(1);
  }

  @Example
  void testIgnoringTheSnapshotOffsetIsDetected() {
    assertThat(ConfigSimulation.firstFailingSeed(IgnoresSnapshotOffset::new, SCHEDULES))
        .isEqualTo(1);
  }

  /** The real implementation. */
  private static class RealFollower implements Follower {
    final ConfigReducer reducer = ConfigReducer.create();

    @Override
    public ApplyResult apply(long offset, ConfigEntry entry) {
      return reducer.apply(offset, entry);
    }

    @Override
    public void adopt(Configuration configuration, long nextOffset) {
      reducer.adopt(configuration, nextOffset);
    }

    @Override
    public Configuration current() {
      return reducer.current();
    }

    @Override
    public long nextOffset() {
      return reducer.nextOffset();
    }

    @Override
    public boolean isComplete() {
      return reducer.isComplete();
    }
  }

  /** Accepts every change, regardless of its base version. */
  private static final class LastWriterWins extends RealFollower {
    @Override
    public ApplyResult apply(long offset, ConfigEntry entry) {
      if (entry instanceof ConfigEntry.Change c && offset >= nextOffset()) {
        super.apply(
            offset, new ConfigEntry.Change(current().version(), c.nonce(), c.author(), c.ops()));
        return ApplyResult.ACCEPTED;
      }
      return super.apply(offset, entry);
    }
  }

  /** Adopts every state that a peer sends, even an older one. */
  private static final class AdoptsAnyPeerState extends RealFollower {
    private Configuration adopted;

    @Override
    public void adopt(Configuration configuration, long nextOffset) {
      adopted = configuration;
    }

    @Override
    public ApplyResult apply(long offset, ConfigEntry entry) {
      adopted = null;
      return super.apply(offset, entry);
    }

    @Override
    public Configuration current() {
      return adopted == null ? super.current() : adopted;
    }
  }

  /** Assumes that a snapshot includes every record before it in the log. */
  private static final class IgnoresSnapshotOffset extends RealFollower {
    @Override
    public ApplyResult apply(long offset, ConfigEntry entry) {
      return entry instanceof ConfigEntry.Snapshot s
          ? super.apply(offset, new ConfigEntry.Snapshot(s.configuration(), offset))
          : super.apply(offset, entry);
    }
  }
}
