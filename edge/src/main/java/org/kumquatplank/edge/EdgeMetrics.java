package org.kumquatplank.edge;

import com.codahale.metrics.Counter;
import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counters, gauges, and latency histograms per route. Thread-safe. */
final class EdgeMetrics {
  private static final long WINDOW_SECONDS = 20;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String PREFIX = "kumquatplank_";

  private final MetricRegistry registry = new MetricRegistry();

  void count(String name) {
    registry.counter(name).inc();
  }

  void time(String route, long micros) {
    registry
        .histogram(
            "latency." + route,
            () ->
                new Histogram(
                    new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)))
        .update(micros);
  }

  /**
   * Sets a gauge.
   *
   * @param name name with its labels, such as {@code topic_offset{topic="op"}}
   */
  void gauge(String name, long value) {
    registry.<SettableGauge<Long>>gauge(name, DefaultSettableGauge::new).setValue(value);
  }

  /** Returns all metrics in the text format, one per line. */
  String text() {
    StringBuilder out = new StringBuilder();
    for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
      out.append(PREFIX).append(entry.getKey()).append("_total ");
      out.append(entry.getValue().getCount()).append('\n');
    }
    for (Map.Entry<String, Gauge<?>> entry : gauges().entrySet()) {
      out.append(PREFIX).append(entry.getKey()).append(' ');
      out.append(entry.getValue().getValue()).append('\n');
    }
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      String route = entry.getKey().substring(entry.getKey().indexOf('.') + 1);
      Snapshot snapshot = entry.getValue().getSnapshot();
      line(out, route, "0.5", snapshot.getMedian());
      line(out, route, "0.95", snapshot.get95thPercentile());
      line(out, route, "0.99", snapshot.get99thPercentile());
      out.append(PREFIX).append("latency_count{class=\"").append(route).append("\"} ");
      out.append(entry.getValue().getCount()).append('\n');
    }
    return out.toString();
  }

  private Map<String, Gauge<?>> gauges() {
    Map<String, Gauge<?>> gauges = new TreeMap<>();
    registry.getGauges().forEach(gauges::put);
    return gauges;
  }

  private static void line(StringBuilder out, String route, String quantile, double micros) {
    out.append(PREFIX).append("latency_ms{class=\"").append(route);
    out.append("\",quantile=\"").append(quantile).append("\"} ");
    out.append(micros / MICROS_PER_MILLI).append('\n');
  }
}
