package org.kumquatplank.core.routing;

/**
 * A token bucket that limits retries to a small fraction of the requests sent.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {
  private static final double TOKENS_PER_REQUEST = 0.02;
  private static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  private RetryBudget() {}

  /** Returns a full budget. */
  public static RetryBudget create() {
    return new RetryBudget();
  }

  /** Credits the budget for a request that was sent. */
  public void recordRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /** Takes a token for one retry and returns whether one was available. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
