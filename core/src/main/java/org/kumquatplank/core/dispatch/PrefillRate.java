package org.kumquatplank.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * How long engines take to read a prompt token, learned from answers.
 *
 * <p>Not thread-safe.
 */
public final class PrefillRate {
  /** Assumed until something was seen: 50 prompt tokens in a millisecond. */
  private static final double FIRST_MICROS_PER_TOKEN = 20;

  /** Shorter prompts say more about the fixed costs than about reading. */
  private static final int LEAST_TOKENS = 400;

  private static final double LEARNING_RATE = 0.1;

  private final Map<String, Double> microsPerToken = new HashMap<>();

  /** Takes in the time from send to first event of a prompt that was alone at its engine. */
  void observe(String model, int tokens, long micros) {
    if (tokens >= LEAST_TOKENS) {
      double sample = (double) micros / tokens;
      microsPerToken.merge(model, sample, (old, s) -> old + LEARNING_RATE * (s - old));
    }
  }

  /** Returns the time that a prompt token takes, microseconds. */
  double of(String model) {
    return microsPerToken.getOrDefault(model, FIRST_MICROS_PER_TOKEN);
  }
}
