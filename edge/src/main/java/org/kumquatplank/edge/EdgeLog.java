package org.kumquatplank.edge;

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured log lines: one for each decision that touches a request or changes what is believed.
 *
 * <p>Thread-safe. The appender behind it drops lines rather than wait; good answers are sampled.
 */
final class EdgeLog {
  /** One in so many good answers is logged; refusals, failures and repeats always are. */
  private static final int GOOD_SAMPLE = 16;

  private static final Logger LOGGER = LoggerFactory.getLogger("edge");
  private static final AtomicLong GOOD = new AtomicLong();

  private EdgeLog() {}

  /** Starts a line. */
  static LoggingEventBuilder event(String name) {
    return LOGGER.atInfo().setMessage(name);
  }

  /** Returns whether this good answer is one that is logged. */
  static boolean sampleGood() {
    return GOOD.incrementAndGet() % GOOD_SAMPLE == 0;
  }

  /** Logs something that should not happen. */
  static void problem(String where, Throwable cause) {
    LOGGER.atWarn().setMessage("problem").addKeyValue("where", where).setCause(cause).log();
  }
}
