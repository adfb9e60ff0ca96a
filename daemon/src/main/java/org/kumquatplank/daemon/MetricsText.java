package org.kumquatplank.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;

/** Formats metrics in the Prometheus text format. Stateless and thread-safe. */
final class MetricsText {
  private static final String PREFIX = "kumquatplank_";
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};
  private static final int PARTS_WITH_LABELS = 3;

  private MetricsText() {}

  static String format(MetricRegistry registry) {
    StringBuilder out = new StringBuilder();
    for (Map.Entry<String, Counter> e : registry.getCounters().entrySet()) {
      appendLine(out, e.getKey(), "_total", "", e.getValue().getCount());
    }
    for (Map.Entry<String, Gauge> e : registry.getGauges().entrySet()) {
      appendLine(out, e.getKey(), "", "", ((Number) e.getValue().getValue()).doubleValue());
    }
    for (Map.Entry<String, Timer> e : registry.getTimers().entrySet()) {
      Snapshot snapshot = e.getValue().getSnapshot();
      for (double quantile : QUANTILES) {
        double seconds = snapshot.getValue(quantile) / NANOS_PER_SECOND;
        appendLine(out, e.getKey(), "_seconds", "quantile=\"" + quantile + "\"", seconds);
      }
      appendLine(out, e.getKey(), "_seconds_count", "", e.getValue().getCount());
    }
    return out.toString();
  }

  /**
   * Appends one sample.
   *
   * <p>A metric name of the form {@code metric|class|account} becomes a metric with two labels.
   */
  private static void appendLine(
      StringBuilder out, String name, String suffix, String label, double value) {
    String[] parts = name.split("\\|", -1);
    String labels = label;
    if (parts.length == PARTS_WITH_LABELS) {
      String nameLabels = "class=\"" + parts[1] + "\",account=\"" + parts[2] + "\"";
      labels = label.isEmpty() ? nameLabels : nameLabels + "," + label;
    }
    out.append(PREFIX).append(parts[0].replace('.', '_')).append(suffix);
    if (!labels.isEmpty()) {
      out.append('{').append(labels).append('}');
    }
    out.append(' ').append(String.format(Locale.ROOT, "%s", value)).append('\n');
  }
}
