package org.kumquatplank.http;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection at a deadline if a write to it is still blocked.
 *
 * <p>A socket has a timeout for its reads only. Confined to one thread.
 */
final class WriteDeadline implements AutoCloseable {
  private static final ScheduledThreadPoolExecutor TIMER = createTimer();

  private final ClientConnection connection;
  private final Instant deadline;
  private Optional<Future<?>> pendingClose = Optional.empty();

  private WriteDeadline(ClientConnection connection, Instant deadline) {
    this.connection = connection;
    this.deadline = deadline;
  }

  private static ScheduledThreadPoolExecutor createTimer() {
    ScheduledThreadPoolExecutor timer =
        new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().daemon().name("write-deadlines").factory());
    timer.setRemoveOnCancelPolicy(true);
    return timer;
  }

  static WriteDeadline of(ClientConnection connection, Instant deadline) {
    return new WriteDeadline(connection, deadline);
  }

  /** Closes the connection at the deadline, unless this is closed before. */
  void start() {
    long millis = Math.max(0, Duration.between(Instant.now(), deadline).toMillis());
    pendingClose = Optional.of(TIMER.schedule(connection::close, millis, TimeUnit.MILLISECONDS));
  }

  @Override
  public void close() {
    pendingClose.ifPresent(future -> future.cancel(false));
  }
}
