package org.kumquatplank.core.quality;

import java.util.HashMap;
import java.util.Map;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.quality.Assessment.Verdict;

/**
 * The evidence on every version in every class.
 *
 * <p>Ratings from all instances go in alike; the order makes no difference to what the test
 * guarantees. Not thread-safe: confined to the control thread.
 */
public final class QualityTracker {
  private static final double LEAST_WEIGHT = 30;
  private static final double CONFIDENCE_SCORE = 1.64;
  private static final double VARIANCE_FLOOR = 0.0025;

  private final Map<Pair, Dossier> records = new HashMap<>();

  private QualityTracker() {}

  /** Returns a tracker without evidence. */
  public static QualityTracker create() {
    return new QualityTracker();
  }

  /**
   * A version in a class.
   *
   * @param workClass name of the class
   * @param version name of the version
   */
  public record Pair(String workClass, String version) {}

  /** The evidence on one pair. */
  private static final class Dossier {
    private final RatingHistogram histogram = new RatingHistogram();
    private DeclineTest test;
    private boolean demoted;
    private boolean meets;
  }

  /**
   * Takes in a rating.
   *
   * @return whether this rating raised the alarm
   */
  public boolean rate(WorkClass workClass, String version, double rating) {
    Dossier record = recordOf(workClass.name(), version);
    if (record.test == null || record.test.target() != workClass.quality()) {
      record.test = new DeclineTest(workClass.quality());
    }
    record.histogram.add(rating);
    boolean before = record.demoted;
    record.demoted |= record.test.add(rating);
    return record.demoted && !before;
  }

  /** Takes in a demotion that another instance decided. */
  public void demote(String workClass, String version) {
    recordOf(workClass, version).demoted = true;
  }

  /** Forgets all evidence on a version, after operators changed it. */
  public void reinstate(String version) {
    records.keySet().removeIf(p -> p.version().equals(version));
  }

  /** Returns what is believed of the version in the class. */
  public Assessment assess(WorkClass workClass, String version) {
    Dossier record = records.get(new Pair(workClass.name(), version));
    if (record == null) {
      return new Assessment(Verdict.UNKNOWN, 0, 0, 0);
    }
    RatingHistogram h = record.histogram;
    double weight = h.total();
    double deviation =
        Math.sqrt((h.variance() + VARIANCE_FLOOR) / Math.max(1, weight)) * CONFIDENCE_SCORE;
    double lower = h.mean() - deviation;
    double upper = h.mean() + deviation;
    return new Assessment(
        verdict(record, workClass.quality(), lower, upper), h.mean(), lower, weight);
  }

  private static Verdict verdict(Dossier record, double target, double lower, double upper) {
    if (record.demoted) {
      return Verdict.DEMOTED;
    }
    if (record.histogram.total() < LEAST_WEIGHT) {
      return Verdict.UNKNOWN;
    }
    // A version that met the target keeps its standing until its mean falls below, so that noise
    // around the bound does not move the traffic back and forth.
    record.meets = lower >= target || (record.meets && record.histogram.mean() >= target);
    if (record.meets) {
      return Verdict.MEETS;
    }
    return upper < target ? Verdict.FAILS : Verdict.UNKNOWN;
  }

  /** Returns the share of the version's ratings at or above a threshold. */
  public double shareFrom(WorkClass workClass, String version, double threshold) {
    return recordOf(workClass.name(), version).histogram.shareFrom(threshold);
  }

  /** Returns the mean of the version's ratings at or above a threshold. */
  public double meanFrom(WorkClass workClass, String version, double threshold) {
    return recordOf(workClass.name(), version).histogram.meanFrom(threshold);
  }

  private Dossier recordOf(String workClass, String version) {
    return records.computeIfAbsent(new Pair(workClass, version), p -> new Dossier());
  }
}
