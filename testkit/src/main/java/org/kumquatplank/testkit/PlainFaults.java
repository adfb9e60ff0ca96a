package org.kumquatplank.testkit;

/**
 * Faults that a plain service injects; read from the JSON body of {@code POST /faults}.
 *
 * @param slowMillis delay of each response in milliseconds, after the call has taken effect
 * @param loseAnswers whether calls take effect but their responses are dropped
 * @param crossed whether responses carry the id of another request
 * @param leaving whether the server announces that it is leaving; it can't be undone
 */
record PlainFaults(long slowMillis, boolean loseAnswers, boolean crossed, boolean leaving) {
  static PlainFaults none() {
    return new PlainFaults(0, false, false, false);
  }
}
