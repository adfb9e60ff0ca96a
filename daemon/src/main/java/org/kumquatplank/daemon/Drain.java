package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.function.IntSupplier;
import org.kumquatplank.core.time.Deadlines;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Graceful shutdown of this instance.
 *
 * <p>Leaves the address list, waits for requests in flight, hands over pending records, and logs
 * what did not finish. Thread-safe.
 */
final class Drain {
  private static final Logger LOG = LoggerFactory.getLogger(Drain.class);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final Duration addressLifetime;
  private final Duration timeout;
  private volatile boolean draining;

  Drain(Duration addressLifetime, Duration timeout) {
    this.addressLifetime = addressLifetime;
    this.timeout = timeout;
  }

  boolean isDraining() {
    return draining;
  }

  /** Operations of the instance that is drained. */
  interface Target {
    /** Notifies platform, peers and connected callers that this instance is leaving. */
    void announceLeaving();

    /** Stops accepting connections. */
    void stopAccepting();

    /** Returns the number of requests in flight. */
    int inFlight();

    /**
     * Retries pending settlements of claims, and returns the number of claims and bills that may
     * not be in the log yet.
     */
    int handOver();
  }

  /**
   * Drains and returns whether everything finished in time.
   *
   * <p>Callers cache the list of addresses, so new requests are accepted until it has expired.
   */
  boolean run(Target target) {
    Instant deadline = Instant.now().plus(timeout);
    draining = true;
    target.announceLeaving();
    Instant lastAddressUse = Instant.now().plus(addressLifetime);
    waitUntil(Deadlines.earlier(lastAddressUse, deadline), () -> 1);
    target.stopAccepting();
    waitUntil(deadline, target::inFlight);
    waitUntil(deadline, target::handOver);
    int unfinishedRequests = target.inFlight();
    int pendingRecords = target.handOver();
    LOG.atInfo()
        .addKeyValue("event", "drained")
        .addKeyValue("requests_cut_off", unfinishedRequests)
        .addKeyValue("records_left", pendingRecords)
        .log(
            "drained: {} requests cut off, {} records not handed over",
            unfinishedRequests,
            pendingRecords);
    return unfinishedRequests == 0 && pendingRecords == 0;
  }

  private static void waitUntil(Instant deadline, IntSupplier remaining) {
    while (Instant.now().isBefore(deadline) && remaining.getAsInt() > 0) {
      try {
        Thread.sleep(POLL_INTERVAL);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
