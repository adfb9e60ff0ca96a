package org.kumquatplank.core.pace;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * Reports of peers on the pace of one backend server.
 *
 * <p>Keeps the latest report of a few peers for a limited time. No peer counts for more than a few
 * responses, so that one that is itself slow does not decide. Not thread-safe.
 */
final class PeerPaces {
  /** Number of peers whose reports are kept. */
  private static final int MAX_REPORTS = 12;

  /** Age from which a report is ignored. */
  private static final long MAX_AGE_MICROS = 8_000_000;

  /** Responses for which a single peer counts at most. */
  private static final int MAX_SAMPLES = 6;

  /** The same for the only peer that reports on the server. */
  private static final int MAX_SAMPLES_OF_ONLY_PEER = 2;

  /** Reports from which on the highest and the lowest one are left out. */
  private static final int MIN_TRIMMED_REPORTS = 4;

  /** Largest deviation that a report may claim, as a logarithm of a ratio. */
  private static final double MAX_DEVIATION = 1.5;

  private final Entry[] entries = new Entry[MAX_REPORTS];

  private record Entry(String peer, PaceReport report, long receivedAt) {
    double weight(long now) {
      long age = now - receivedAt;
      return age >= MAX_AGE_MICROS
          ? 0
          : Math.min(MAX_SAMPLES, report.samples()) * PaceEvidence.weight(age);
    }

    double deviation() {
      double ratio = Math.max(1, report.slowdownPercent()) / 100.0;
      return Math.clamp(Math.log(ratio), -MAX_DEVIATION, MAX_DEVIATION);
    }
  }

  void add(String peer, PaceReport report, long now) {
    int slot = 0;
    for (int i = 0; i < MAX_REPORTS; i++) {
      if (entries[i] == null || entries[i].peer.equals(peer)) {
        slot = i;
        break;
      }
      if (entries[i].receivedAt < entries[slot].receivedAt) {
        slot = i;
      }
    }
    entries[slot] = new Entry(peer, report, now);
  }

  /**
   * Returns the responses behind the reports and their mean deviation, without the highest and the
   * lowest one of several reports.
   */
  PaceEvidence.Mean mean(long now) {
    Entry lowest = null;
    Entry highest = null;
    int count = 0;
    double samples = 0;
    double sum = 0;
    for (Entry entry : entries) {
      double weight = entry == null ? 0 : entry.weight(now);
      if (weight == 0) {
        continue;
      }
      count++;
      samples += weight;
      sum += weight * entry.deviation();
      lowest = lowest == null || entry.deviation() < lowest.deviation() ? entry : lowest;
      highest = highest == null || entry.deviation() >= highest.deviation() ? entry : highest;
    }
    if (count == 0) {
      return new PaceEvidence.Mean(0, 0);
    }
    double mean = sum / samples;
    if (count == 1) {
      return new PaceEvidence.Mean(Math.min(MAX_SAMPLES_OF_ONLY_PEER, samples), mean);
    }
    if (count >= MIN_TRIMMED_REPORTS) {
      for (Entry outlier : new Entry[] {lowest, highest}) {
        samples -= outlier.weight(now);
        sum -= outlier.weight(now) * outlier.deviation();
      }
      mean = sum / samples;
    }
    return new PaceEvidence.Mean(samples, mean);
  }

  /** Returns the median of the limits that at least two peers have found, or nothing. */
  OptionalDouble limit(long now) {
    double[] limits = new double[MAX_REPORTS];
    int count = 0;
    for (Entry entry : entries) {
      if (entry != null && entry.report.concurrencyLimit() > 0 && entry.weight(now) > 0) {
        limits[count++] = entry.report.concurrencyLimit();
      }
    }
    Arrays.sort(limits, 0, count);
    return count < 2 ? OptionalDouble.empty() : OptionalDouble.of(limits[count / 2]);
  }
}
