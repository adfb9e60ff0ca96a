package org.kumquatplank.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Executor of the single thread that owns the control state. Thread-safe. */
final class ControlThread implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("control").daemon(true).factory());

  /** Runs a task on the control thread without waiting for it. */
  void execute(Runnable task) {
    executor.execute(logFailures(task));
  }

  /** Runs a task on the control thread and waits for its result. */
  <T> T call(Supplier<T> task) {
    return CompletableFuture.supplyAsync(task, executor).join();
  }

  /** Runs a task on the control thread repeatedly, with a fixed delay between runs. */
  void scheduleWithFixedDelay(Duration delay, Runnable task) {
    executor.scheduleWithFixedDelay(logFailures(task), 0, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static Runnable logFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("task on the control thread failed", e);
      }
    };
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
