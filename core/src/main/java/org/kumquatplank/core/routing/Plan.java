package org.kumquatplank.core.routing;

/** The model versions that serve a request. */
public sealed interface Plan {
  /** Returns the reason why this plan was chosen. */
  String reason();

  /** Returns the name of the version that runs first. */
  String firstVersion();

  /**
   * A plan that uses one version.
   *
   * @param firstVersion name of the version
   * @param reason reason for the choice
   * @param trial whether the request is charged to the trial budget of the version
   */
  record Single(String firstVersion, String reason, boolean trial) implements Plan {}

  /**
   * A plan that runs a low-cost version first and a better one if the first response is rated too
   * low.
   *
   * @param firstVersion name of the low-cost version
   * @param secondVersion name of the better version
   * @param minRating minimum rating at which the first response is returned to the caller
   * @param reason reason for the choice
   */
  record Cascade(String firstVersion, String secondVersion, double minRating, String reason)
      implements Plan {}
}
