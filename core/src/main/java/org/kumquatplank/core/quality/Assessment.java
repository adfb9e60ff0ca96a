package org.kumquatplank.core.quality;

/**
 * The estimated quality of a model version in a work class.
 *
 * @param verdict the result of comparing the estimate with the target
 * @param mean estimated mean rating
 * @param lowerBound lower confidence bound of the mean rating
 * @param ratingWeight number of ratings behind the estimate, weighted by their exponential decay
 */
public record Assessment(Verdict verdict, double mean, double lowerBound, double ratingWeight) {
  /** Whether a version meets the quality target of a class. */
  public enum Verdict {
    /** The ratings do not yet decide whether the target is met. */
    UNKNOWN,
    /** The mean rating meets the target. */
    MEETS,
    /** The mean rating misses the target. */
    FAILS,
    /** The sequential test of this or another instance detected that the target is missed. */
    DEMOTED
  }
}
