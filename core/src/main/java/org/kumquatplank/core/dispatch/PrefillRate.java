package org.kumquatplank.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the prefill time of each prompt token per model from observed responses.
 *
 * <p>Not thread-safe.
 */
public final class PrefillRate {
  /** Estimate before the first sample: 50 prompt tokens per millisecond. */
  private static final double INITIAL_MICROS_PER_TOKEN = 20;

  /** Minimum length of a sample; fixed costs dominate the latency of shorter prompts. */
  private static final int MIN_SAMPLE_TOKENS = 400;

  /** Weight of a new sample in the moving average. */
  private static final double SMOOTHING_RATIO = 0.1;

  private final Map<String, Double> microsPerTokenByModel = new HashMap<>();

  /** Records the time from send to first event of a prompt that was the only one at its engine. */
  void recordPrefill(String model, int tokens, long micros) {
    if (tokens >= MIN_SAMPLE_TOKENS) {
      double sample = (double) micros / tokens;
      microsPerTokenByModel.merge(model, sample, (mean, s) -> mean + SMOOTHING_RATIO * (s - mean));
    }
  }

  /** Returns the estimated prefill time of one prompt token, microseconds. */
  double microsPerToken(String model) {
    return microsPerTokenByModel.getOrDefault(model, INITIAL_MICROS_PER_TOKEN);
  }
}
