package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.membership.ListedInstance.Role;

class ConfigFollowerTest {
  private static final int MAX_WAITS = 500;

  private final MemoryLog log = new MemoryLog();

  /** Runs a follower of the log until the condition holds, or for a limited time. */
  private static void followUntil(
      InstanceFixture instance, EventLog log, BooleanSupplier condition) {
    ConfigFollower follower =
        new ConfigFollower(
            log,
            instance.controlThread,
            instance.state,
            instance.freshness,
            instance.nanos::get,
            InstanceFixture.SELF);
    Thread thread = Thread.ofVirtual().start(follower);
    try {
      for (int i = 0; i < MAX_WAITS && !condition.getAsBoolean(); i++) {
        Thread.sleep(10);
      }
      follower.stop();
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The log, except that the first read fails in a way that the interface does not name. */
  private final class FailingOnceLog implements EventLog {
    private final AtomicBoolean failed = new AtomicBoolean();

    @Override
    public long append(String stream, String record, Instant deadline) {
      return log.append(stream, record, deadline);
    }

    @Override
    public LogPage read(String stream, long from, Instant waitUntil) {
      if (failed.compareAndSet(false, true)) {
        throw new IllegalStateException("injected fault");
      }
      return log.read(stream, from, waitUntil);
    }
  }

  // An instance whose follower had ended kept the configuration that it had by then.
  @Example
  void testKeepsFollowingAfterAnUnexpectedException() {
    log.append("config", InstanceFixture.change(0), Instant.MAX);
    try (InstanceFixture instance = new InstanceFixture()) {
      followUntil(instance, new FailingOnceLog(), instance.freshness::isFresh);
      assertThat(instance.state.snapshot().configuration().version()).isEqualTo(1);
      assertThat(instance.freshness.isFresh()).isTrue();
    }
  }

  // The log then held neither the start of the stream nor a snapshot: no new instance could read
  // the configuration from it.
  @Example
  void testAppendsASnapshotWhenRetentionHasRemovedTheLastOne() {
    log.append("config", InstanceFixture.change(0), Instant.MAX);
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.setInstances(InstanceFixture.listed("a", Role.ENTRY, 1, Set.of()));
      followUntil(instance, log, instance.freshness::isFresh);
      assertThat(log.texts("config")).containsExactly(InstanceFixture.change(0));
      log.deleteAll("config");
      followUntil(instance, log, () -> !log.texts("config").isEmpty());
      assertThat(log.texts("config").stream().map(ConfigCodec::fromJson))
          .contains(
              Optional.of(new ConfigEntry.Snapshot(instance.state.snapshot().configuration(), 1)));
    }
  }

  // Instances that knew of missing records counted as cut off from the log; a majority of them
  // would have served an old configuration.
  @Example
  void testLogIsReachableThoughRecordsAreMissing() {
    log.append("config", InstanceFixture.change(0), Instant.MAX);
    log.deleteAll("config");
    log.append("config", InstanceFixture.change(1), Instant.MAX);
    try (InstanceFixture instance = new InstanceFixture()) {
      followUntil(instance, log, () -> instance.state.snapshot().configNextOffset() == 2);
      assertThat(instance.state.snapshot().configComplete()).isFalse();
      assertThat(instance.freshness.logReachable()).isTrue();
      assertThat(instance.freshness.isFresh()).isFalse();
    }
  }
}
