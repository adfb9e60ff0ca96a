package org.kumquatplank.core.quality;

import java.util.HashMap;
import java.util.Map;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.quality.Assessment.Verdict;

/**
 * Tracks the ratings of every model version in every work class and demotes versions that miss the
 * quality target.
 *
 * <p>Ratings of this instance and of peers are treated alike. The guarantee of the sequential test
 * holds for any order of the ratings. Not thread-safe: confined to the control thread.
 */
public final class QualityTracker {
  private static final double MIN_RATING_WEIGHT = 30;
  private static final double CONFIDENCE_Z_SCORE = 1.64;
  private static final double VARIANCE_FLOOR = 0.0025;

  private final Map<Pair, RatingRecord> records = new HashMap<>();

  private QualityTracker() {}

  /** Returns a tracker without ratings. */
  public static QualityTracker create() {
    return new QualityTracker();
  }

  /**
   * A model version in a work class.
   *
   * <p>The string form is a hash key in the trial budget, so the names of the record and its
   * components must not change.
   *
   * @param workClass name of the class
   * @param version name of the version
   */
  public record Pair(String workClass, String version) {}

  /** The ratings and test results of one pair. */
  private static final class RatingRecord {
    private final RatingHistogram histogram = new RatingHistogram();
    private DeclineTest test;
    private boolean demoted;
    private boolean meets;
  }

  /**
   * Adds a rating.
   *
   * @return whether this rating causes the demotion of the version
   */
  public boolean addRating(WorkClass workClass, String version, double rating) {
    RatingRecord record = recordOf(workClass.name(), version);
    if (record.test == null || record.test.target() != workClass.quality()) {
      record.test = new DeclineTest(workClass.quality());
    }
    record.histogram.add(rating);
    boolean demotedBefore = record.demoted;
    record.demoted |= record.test.add(rating);
    return record.demoted && !demotedBefore;
  }

  /** Records a demotion that another instance decided. */
  public void demote(String workClass, String version) {
    recordOf(workClass, version).demoted = true;
  }

  /** Discards all ratings and demotions of a version, after an operator changed it. */
  public void reset(String version) {
    records.keySet().removeIf(p -> p.version().equals(version));
  }

  /** Returns the estimated quality of the version in the class. */
  public Assessment assess(WorkClass workClass, String version) {
    RatingRecord record = records.get(new Pair(workClass.name(), version));
    if (record == null) {
      return new Assessment(Verdict.UNKNOWN, 0, 0, 0);
    }
    RatingHistogram histogram = record.histogram;
    double weight = histogram.totalWeight();
    double margin =
        Math.sqrt((histogram.variance() + VARIANCE_FLOOR) / Math.max(1, weight))
            * CONFIDENCE_Z_SCORE;
    double lowerBound = histogram.mean() - margin;
    double upperBound = histogram.mean() + margin;
    return new Assessment(
        verdict(record, workClass.quality(), lowerBound, upperBound),
        histogram.mean(),
        lowerBound,
        weight);
  }

  private static Verdict verdict(
      RatingRecord record, double target, double lowerBound, double upperBound) {
    if (record.demoted) {
      return Verdict.DEMOTED;
    }
    if (record.histogram.totalWeight() < MIN_RATING_WEIGHT) {
      return Verdict.UNKNOWN;
    }
    // Hysteresis: a version that met the target keeps this verdict until its mean falls below the
    // target, so that noise around the bound does not move traffic back and forth.
    record.meets = lowerBound >= target || (record.meets && record.histogram.mean() >= target);
    if (record.meets) {
      return Verdict.MEETS;
    }
    return upperBound < target ? Verdict.FAILS : Verdict.UNKNOWN;
  }

  /** Returns the share of the version's ratings at or above a threshold, or 0 without ratings. */
  public double shareAtLeast(WorkClass workClass, String version, double threshold) {
    return recordOf(workClass.name(), version).histogram.shareAtLeast(threshold);
  }

  /** Returns the mean of the version's ratings at or above a threshold, or 0 if there are none. */
  public double meanOfAtLeast(WorkClass workClass, String version, double threshold) {
    return recordOf(workClass.name(), version).histogram.meanOfAtLeast(threshold);
  }

  private RatingRecord recordOf(String workClass, String version) {
    return records.computeIfAbsent(new Pair(workClass, version), p -> new RatingRecord());
  }
}
