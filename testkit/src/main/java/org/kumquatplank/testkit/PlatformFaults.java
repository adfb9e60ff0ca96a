package org.kumquatplank.testkit;

/**
 * Faults that the platform injects; read from the JSON body of {@code POST /faults}.
 *
 * @param logDown whether appends to the log and reads from it fail with status 503
 * @param logSlowMillis delay of each log call in milliseconds
 * @param loseAppendAnswers whether appends take effect but their responses are dropped
 * @param listDown whether calls to the instance list fail with status 503
 * @param listLagMillis time by which the instance list is out of date, in milliseconds
 * @param ratingsDown whether calls to the rating service fail with status 503
 */
record PlatformFaults(
    boolean logDown,
    long logSlowMillis,
    boolean loseAppendAnswers,
    boolean listDown,
    long listLagMillis,
    boolean ratingsDown) {
  static PlatformFaults none() {
    return new PlatformFaults(false, 0, false, false, 0, false);
  }
}
