package org.kumquatplank.testkit;

/**
 * Faults that an engine injects; read from the JSON body of {@code POST /faults}.
 *
 * @param slowFactor factor by which the time per token grows; values below 1 count as 1
 * @param breakAfterTokens number of tokens after which streams break; 0 for never
 * @param silent whether streams stall without being closed
 * @param crossed whether responses carry the id of another request
 * @param leaving whether the engine announces that it is leaving; it can't be undone
 * @param qualityDrop amount by which the quality of its responses falls
 * @param dropVersion version whose quality falls; null for all versions
 */
record EngineFaults(
    double slowFactor,
    int breakAfterTokens,
    boolean silent,
    boolean crossed,
    boolean leaving,
    double qualityDrop,
    String dropVersion) {
  /** Returns the amount by which the quality of a version's responses falls. */
  double qualityDropFor(String version) {
    return dropVersion == null || dropVersion.equals(version) ? qualityDrop : 0;
  }

  static EngineFaults none() {
    return new EngineFaults(1, 0, false, false, false, 0, null);
  }
}
