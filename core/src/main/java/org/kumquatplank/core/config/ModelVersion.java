package org.kumquatplank.core.config;

/**
 * One version of a model.
 *
 * @param name unique name, by convention {@code model@version}
 * @param promptCost cost of one million prompt tokens, in millionths of the currency unit
 * @param completionCost cost of one million generated tokens, in millionths of the currency unit
 * @param stage rollout stage of the version
 */
public record ModelVersion(String name, long promptCost, long completionCost, Stage stage)
    implements Named {
  private static final long TOKENS_PER_PRICE_UNIT = 1_000_000;

  /** The rollout stage of a version. */
  public enum Stage {
    /**
     * The version is on trial: it receives a bounded number of requests until its quality is known.
     */
    TRIAL,
    /** The version receives requests according to its observed quality. */
    LIVE,
    /** The version receives no new requests. */
    WITHDRAWN
  }

  /** Returns whether new requests may be sent to this version. */
  public boolean acceptsRequests() {
    return stage != Stage.WITHDRAWN;
  }

  /** Returns the cost of a request in millionths of the currency unit, rounded up. */
  public long costMicros(long promptTokens, long completionTokens) {
    long cost = promptTokens * promptCost + completionTokens * completionCost;
    return Math.ceilDiv(cost, TOKENS_PER_PRICE_UNIT);
  }

  /** Returns the same version at another stage. */
  public ModelVersion withStage(Stage newStage) {
    return new ModelVersion(name, promptCost, completionCost, newStage);
  }
}
