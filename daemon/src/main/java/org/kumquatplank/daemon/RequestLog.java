package org.kumquatplank.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.error.RouterException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one log line per request and updates the metrics.
 *
 * <p>The log contains no prompt text and no credentials. Metric names are built only from
 * configured classes, services and accounts, so their number is bounded by the configuration.
 * Thread-safe.
 */
final class RequestLog {
  private static final Logger LOG = LoggerFactory.getLogger("requests");

  private final MetricRegistry metrics;

  RequestLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /**
   * A finished request.
   *
   * @param id request id
   * @param account client account
   * @param workClass class or plain service
   * @param version model version, or empty for a plain service
   * @param tokens tokens generated
   * @param costMicros cost in millionths of the currency unit
   * @param durationMicros time from arrival to the end, microseconds
   * @param firstTokenMicros time to first token, microseconds; empty if no token was generated
   */
  record Entry(
      String id,
      String account,
      String workClass,
      String version,
      long tokens,
      long costMicros,
      long durationMicros,
      Optional<Long> firstTokenMicros) {}

  void served(Entry entry) {
    count(entry, "served");
    metrics.counter(name("cost_micros", entry)).inc(entry.costMicros());
    metrics.timer(name("request", entry)).update(entry.durationMicros(), TimeUnit.MICROSECONDS);
    entry
        .firstTokenMicros()
        .ifPresent(
            micros ->
                metrics.timer(name("first_token", entry)).update(micros, TimeUnit.MICROSECONDS));
    write(entry, "served", "");
  }

  void failed(Entry entry, RouterException e) {
    count(entry, e.code().wireName());
    write(entry, e.code().wireName(), e.executionStatus().wireName());
  }

  private void count(Entry entry, String outcome) {
    metrics.counter(name("requests." + outcome, entry)).inc();
  }

  private static String name(String metric, Entry entry) {
    return metric + "|" + entry.workClass() + "|" + entry.account();
  }

  private static void write(Entry entry, String outcome, String ran) {
    LOG.atInfo()
        .addKeyValue("event", "request")
        .addKeyValue("request", entry.id())
        .addKeyValue("account", entry.account())
        .addKeyValue("class", entry.workClass())
        .addKeyValue("version", entry.version())
        .addKeyValue("outcome", outcome)
        .addKeyValue("ran", ran)
        .addKeyValue("tokens", entry.tokens())
        .addKeyValue("cost_micros", entry.costMicros())
        .addKeyValue("micros", entry.durationMicros())
        .log("request {}", outcome);
  }
}
