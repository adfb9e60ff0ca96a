package org.kumquatplank.edge;

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured log: one line per decision on a request and per change of configuration or state.
 *
 * <p>Thread-safe. The appender drops lines rather than block. Successful requests are sampled.
 */
final class EdgeLog {
  /** One in this many successes is logged; rejections, failures and retries always are. */
  private static final int SUCCESS_SAMPLE_INTERVAL = 16;

  private static final Logger LOGGER = LoggerFactory.getLogger("edge");
  private static final AtomicLong SUCCESSES = new AtomicLong();

  private EdgeLog() {}

  /** Returns a builder for a line with that event name. */
  static LoggingEventBuilder event(String name) {
    return LOGGER.atInfo().setMessage(name);
  }

  /** Logs that a request is sent once more. */
  static void retry(Exchange exchange, BackendCall ended, String reason) {
    event("repeat")
        .addKeyValue("id", exchange.request().id())
        .addKeyValue("reason", reason)
        .addKeyValue("from", ended.selection().backend().server().id())
        .addKeyValue("sends", exchange.sendCount())
        .log();
  }

  /** Counts a successful request, and returns whether it is to be logged. */
  static boolean sampleSuccess() {
    return SUCCESSES.incrementAndGet() % SUCCESS_SAMPLE_INTERVAL == 0;
  }

  /** Runs a task and logs its failure, so that a periodic task that fails once runs again. */
  static void runLoggingFailures(String where, Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      problem(where, e);
    }
  }

  /** Logs an unexpected failure with the component in which it occurred. */
  static void problem(String where, Throwable cause) {
    LOGGER.atWarn().setMessage("problem").addKeyValue("where", where).setCause(cause).log();
  }
}
