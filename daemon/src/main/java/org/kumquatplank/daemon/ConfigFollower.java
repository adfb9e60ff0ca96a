package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.membership.RendezvousHashing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration stream as it grows, and appends snapshots to it.
 *
 * <p>A snapshot keeps the configuration readable after retention has removed the oldest records.
 * Runs on its own thread.
 */
final class ConfigFollower implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigFollower.class);

  /** Name of the configuration stream. */
  static final String STREAM = "config";

  private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(800);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);
  private static final long SNAPSHOT_INTERVAL_RECORDS = 64;

  private final EventLog log;
  private final ControlThread controlThread;
  private final ControlState state;
  private final Freshness freshness;
  private final LongSupplier nanoTime;
  private final String self;
  private long lastSnapshotOffset;
  private volatile boolean stopped;

  ConfigFollower(
      EventLog log,
      ControlThread controlThread,
      ControlState state,
      Freshness freshness,
      LongSupplier nanoTime,
      String self) {
    this.log = log;
    this.controlThread = controlThread;
    this.state = state;
    this.freshness = freshness;
    this.nanoTime = nanoTime;
    this.self = self;
  }

  /** Stops after the current read. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      try {
        readOnce();
      } catch (LogException e) {
        freshness.recordLogFailure();
        pause();
      } catch (RuntimeException e) {
        logUnlessStopped(e);
        pause();
      }
    }
  }

  private void readOnce() {
    long startedAt = nanoTime.getAsLong();
    long from = state.snapshot().configNextOffset();
    LogPage page = log.read(STREAM, from, Instant.now().plus(LONG_POLL_TIMEOUT));
    freshness.recordLogRead();
    boolean complete =
        controlThread.call(
            () -> {
              state.applyPage(page);
              return state.snapshot().configComplete();
            });
    if (page.reachesEnd() && complete) {
      freshness.confirmByLog(startedAt);
    }
    appendSnapshotIfDue(page);
  }

  private void logUnlessStopped(RuntimeException e) {
    if (!stopped) {
      LOG.error("cannot follow the configuration stream", e);
    }
  }

  private void appendSnapshotIfDue(LogPage page) {
    for (var record : page.records()) {
      boolean isSnapshot =
          ConfigCodec.fromJson(record.text())
              .filter(ConfigEntry.Snapshot.class::isInstance)
              .isPresent();
      lastSnapshotOffset = isSnapshot ? record.offset() : lastSnapshotOffset;
    }
    ControlSnapshot snapshot = state.snapshot();
    boolean due =
        page.firstRetained() > lastSnapshotOffset
            || snapshot.configNextOffset() - lastSnapshotOffset >= SNAPSHOT_INTERVAL_RECORDS;
    if (!due || !snapshot.configComplete() || !isSnapshotWriter(snapshot)) {
      return;
    }
    ConfigEntry entry =
        new ConfigEntry.Snapshot(snapshot.configuration(), snapshot.configNextOffset());
    lastSnapshotOffset =
        log.append(STREAM, ConfigCodec.toJson(entry), Instant.now().plus(APPEND_TIMEOUT));
  }

  /**
   * Returns whether this instance appends the snapshots.
   *
   * <p>Only one instance should, but duplicate snapshots are harmless.
   */
  private boolean isSnapshotWriter(ControlSnapshot snapshot) {
    var entries =
        snapshot.instances().entries().stream().filter(e -> !e.leaving()).map(e -> e.id()).toList();
    return !entries.isEmpty() && RendezvousHashing.rank(STREAM, entries).get(0).equals(self);
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_DELAY);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
