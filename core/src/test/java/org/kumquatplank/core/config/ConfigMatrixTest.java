package org.kumquatplank.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.config.ConfigReducer.Verdict;
import org.kumquatplank.core.config.ConfigSimulation.Follower;

/** Racing operators, lost answers, replaced instances and retention; with partners that fail. */
class ConfigMatrixTest {
  private static final long SCHEDULES = 4_000;

  @Example
  void testNoInstanceRevertsAndNoTwoDiffer() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      assertThat(ConfigSimulation.play(seed, RealFollower::new)).as("seed %d", seed).isEmpty();
    }
  }

  @Example
  void testLastWriterWinsIsCaught() {
    assertThat(ConfigSimulation.firstBadSeed(LastWriterWins::new, SCHEDULES)).isEqualTo(0);
  }

  @Example
  void testTrustingTheNewestReplyIsCaught() {
    assertThat(ConfigSimulation.firstBadSeed(NewestReply::new, SCHEDULES)).isEqualTo(1);
  }

  @Example
  void testSnapshotWithoutItsOffsetIsCaught() {
    assertThat(ConfigSimulation.firstBadSeed(SnapshotAsItStands::new, SCHEDULES)).isEqualTo(1);
  }

  /** The mechanism itself. */
  private static class RealFollower implements Follower {
    final ConfigReducer reducer = ConfigReducer.create();

    @Override
    public Verdict fold(long offset, ConfigEntry entry) {
      return reducer.fold(offset, entry);
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

  /** Takes every change, whatever it was made against. */
  private static final class LastWriterWins extends RealFollower {
    @Override
    public Verdict fold(long offset, ConfigEntry entry) {
      if (entry instanceof ConfigEntry.Change c && offset >= nextOffset()) {
        super.fold(
            offset, new ConfigEntry.Change(current().version(), c.nonce(), c.author(), c.ops()));
        return Verdict.ACCEPTED;
      }
      return super.fold(offset, entry);
    }
  }

  /** Takes whatever a peer sends. */
  private static final class NewestReply extends RealFollower {
    private Configuration adopted;

    @Override
    public void adopt(Configuration configuration, long nextOffset) {
      adopted = configuration;
    }

    @Override
    public Verdict fold(long offset, ConfigEntry entry) {
      adopted = null;
      return super.fold(offset, entry);
    }

    @Override
    public Configuration current() {
      return adopted == null ? super.current() : adopted;
    }
  }

  /** Believes that a snapshot rests on every record before it in the log. */
  private static final class SnapshotAsItStands extends RealFollower {
    @Override
    public Verdict fold(long offset, ConfigEntry entry) {
      return entry instanceof ConfigEntry.Snapshot s
          ? super.fold(offset, new ConfigEntry.Snapshot(s.configuration(), offset))
          : super.fold(offset, entry);
    }
  }
}
