package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.membership.Rendezvous;

/**
 * Reads the configuration stream as it grows and keeps a snapshot in it before retention eats the
 * start. Runs on a thread of its own.
 */
final class ConfigFollower implements Runnable {
  /** Name of the configuration stream. */
  static final String STREAM = "config";

  private static final Duration LONG_POLL = Duration.ofMillis(800);
  private static final Duration FAILURE_PAUSE = Duration.ofMillis(200);
  private static final Duration SNAPSHOT_WAIT = Duration.ofSeconds(2);
  private static final long SNAPSHOT_EVERY_RECORDS = 64;

  private final EventLog log;
  private final Control control;
  private final ControlState state;
  private final Freshness freshness;
  private final LongSupplier nanoTime;
  private final String self;
  private long lastSnapshot;
  private volatile boolean stopped;

  ConfigFollower(
      EventLog log,
      Control control,
      ControlState state,
      Freshness freshness,
      LongSupplier nanoTime,
      String self) {
    this.log = log;
    this.control = control;
    this.state = state;
    this.freshness = freshness;
    this.nanoTime = nanoTime;
    this.self = self;
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      try {
        long startedAt = nanoTime.getAsLong();
        long from = state.snapshot().configNextOffset();
        LogPage page = log.read(STREAM, from, Instant.now().plus(LONG_POLL));
        boolean complete =
            control.ask(
                () -> {
                  state.foldPage(page);
                  return state.snapshot().configComplete();
                });
        if (page.reachesEnd() && complete) {
          freshness.provedByLog(startedAt);
        }
        snapshotIfDue(page);
      } catch (LogException e) {
        freshness.logFailed();
        pause();
      }
    }
  }

  private void snapshotIfDue(LogPage page) {
    for (var record : page.records()) {
      boolean isSnapshot =
          ConfigCodec.fromJson(record.text())
              .filter(ConfigEntry.Snapshot.class::isInstance)
              .isPresent();
      lastSnapshot = isSnapshot ? record.offset() : lastSnapshot;
    }
    ControlSnapshot snapshot = state.snapshot();
    boolean due = snapshot.configNextOffset() - lastSnapshot >= SNAPSHOT_EVERY_RECORDS;
    if (!due || !snapshot.configComplete() || !isWriter(snapshot)) {
      return;
    }
    ConfigEntry entry = new ConfigEntry.Snapshot(snapshot.configuration(), snapshot.configNextOffset());
    log.append(STREAM, ConfigCodec.toJson(entry), Instant.now().plus(SNAPSHOT_WAIT));
    lastSnapshot = snapshot.configNextOffset();
  }

  /** One instance writes the snapshots; two that both believe so do no harm. */
  private boolean isWriter(ControlSnapshot snapshot) {
    var entries =
        snapshot.instances().entries().stream().filter(e -> !e.leaving()).map(e -> e.id()).toList();
    return !entries.isEmpty() && Rendezvous.rank(STREAM, entries).get(0).equals(self);
  }

  private static void pause() {
    try {
      Thread.sleep(FAILURE_PAUSE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
