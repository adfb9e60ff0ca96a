package org.kumquatplank.testkit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Results of the demonstration by work class, rendered as a table. Thread-safe. */
final class DemoTable {
  private static final double MICROS_PER_UNIT = 1_000_000;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Map<String, Row> rows = new TreeMap<>();

  /** Results of the requests of one work class. */
  private static final class Row {
    private final List<Long> latenciesMicros = new ArrayList<>();
    private final Map<String, Integer> requestsByVersion = new TreeMap<>();
    private final Map<String, Integer> rejectionsByCode = new TreeMap<>();
    private long tokens;
    private long costMicros;
  }

  synchronized void addServed(String workClass, String version, long micros, long tokens) {
    Row row = rows.computeIfAbsent(workClass, c -> new Row());
    row.latenciesMicros.add(micros);
    row.requestsByVersion.merge(version, 1, Integer::sum);
    row.tokens += tokens;
  }

  synchronized void addRejected(String workClass, String code) {
    rows.computeIfAbsent(workClass, c -> new Row()).rejectionsByCode.merge(code, 1, Integer::sum);
  }

  synchronized void addCost(String workClass, long costMicros) {
    rows.computeIfAbsent(workClass, c -> new Row()).costMicros += costMicros;
  }

  synchronized int servedCount() {
    return rows.values().stream().mapToInt(r -> r.latenciesMicros.size()).sum();
  }

  synchronized String render() {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            "%-10s %7s %8s %9s %10s %10s %10s  %s%n",
            "CLASS",
            "SERVED",
            "REFUSED",
            "TOKENS",
            "COST",
            "MEDIAN ms",
            "95TH ms",
            "VERSIONS, REFUSALS"));
    rows.forEach((name, row) -> out.append(formatRow(name, row)));
    return out.toString();
  }

  private static String formatRow(String name, Row row) {
    Collections.sort(row.latenciesMicros);
    int rejected = row.rejectionsByCode.values().stream().mapToInt(Integer::intValue).sum();
    String rejections = row.rejectionsByCode.isEmpty() ? "" : " " + row.rejectionsByCode;
    return String.format(
        Locale.ROOT,
        "%-10s %7d %8d %9d %10.4f %10.1f %10.1f  %s%s%n",
        name,
        row.latenciesMicros.size(),
        rejected,
        row.tokens,
        row.costMicros / MICROS_PER_UNIT,
        quantile(row.latenciesMicros, 0.5),
        quantile(row.latenciesMicros, 0.95),
        row.requestsByVersion,
        rejections);
  }

  private static double quantile(List<Long> sorted, double fraction) {
    if (sorted.isEmpty()) {
      return 0;
    }
    int index = (int) Math.min(sorted.size() - 1, Math.floor(fraction * sorted.size()));
    return sorted.get(index) / MICROS_PER_MILLI;
  }
}
