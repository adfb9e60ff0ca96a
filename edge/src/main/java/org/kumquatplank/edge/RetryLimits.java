package org.kumquatplank.edge;

import java.util.HashMap;
import java.util.Map;
import org.kumquatplank.core.dispatch.RetryLimit;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * Limits on the retries to each service, shared by all instances.
 *
 * <p>Confined to the traffic thread.
 */
final class RetryLimits {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long LOG_INTERVAL_MICROS = 1_000_000;

  private final EdgeSettings.Limits limits;
  private final EdgeMetrics metrics;
  private final LogThrottle log = LogThrottle.create(LOG_INTERVAL_MICROS);
  private final Map<String, RetryLimit> byService = new HashMap<>();

  RetryLimits(EdgeSettings.Limits limits, EdgeMetrics metrics) {
    this.limits = limits;
    this.metrics = metrics;
  }

  void recordRequest(Exchange exchange) {
    limit(exchange).recordRequest(Clock.micros());
  }

  /** Takes one retry from the limit; returns false if it is exhausted. */
  boolean take(Exchange exchange, int liveInstances) {
    long now = Clock.micros();
    boolean taken = limit(exchange).tryAcquire(liveInstances, now);
    if (!taken) {
      metrics.count("repeats_over_limit");
      log.pass(now)
          .ifPresent(omitted -> ExchangeLog.overRetryLimit(exchange, liveInstances, omitted));
    }
    return taken;
  }

  private RetryLimit limit(Exchange exchange) {
    return byService.computeIfAbsent(
        exchange.request().service(),
        s ->
            RetryLimit.create(
                limits.retryRatio(),
                limits.retryAllowance(),
                limits.retryWindowMillis() * MICROS_PER_MILLI));
  }
}
