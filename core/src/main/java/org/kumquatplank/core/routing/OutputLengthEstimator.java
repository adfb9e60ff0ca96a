package org.kumquatplank.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts how many tokens a request will generate, from earlier ones of its class and account.
 *
 * <p>Not thread-safe.
 */
public final class OutputLengthEstimator {
  private static final double FIRST_GUESS_TOKENS = 200;
  private static final double LEARNING_RATE = 0.05;
  private static final int ACCOUNT_TRUST_COUNT = 10;
  private static final int MAX_ENTRIES = 10_000;

  private final Map<String, Estimate> byClass = new HashMap<>();
  private final Map<Source, Estimate> bySource = new HashMap<>();

  private OutputLengthEstimator() {}

  /** Returns an estimator without observations. */
  public static OutputLengthEstimator create() {
    return new OutputLengthEstimator();
  }

  /** An account's use of a class. */
  private record Source(String workClass, String account) {}

  /** A running mean. */
  private static final class Estimate {
    private double mean = FIRST_GUESS_TOKENS;
    private int count;

    void add(double tokens) {
      count++;
      double rate = Math.max(LEARNING_RATE, 1.0 / count);
      mean += rate * (tokens - mean);
    }
  }

  /** Takes in the length of a finished answer. */
  public void observe(String workClass, String account, long tokens) {
    byClass.computeIfAbsent(workClass, c -> new Estimate()).add(tokens);
    Source source = new Source(workClass, account);
    if (bySource.containsKey(source) || bySource.size() < MAX_ENTRIES) {
      bySource.computeIfAbsent(source, s -> new Estimate()).add(tokens);
    }
  }

  /** Returns the lower median of the classes' mean lengths. */
  public double typical() {
    return byClass.values().stream()
        .map(e -> e.mean)
        .sorted()
        .skip(Math.max(0, (byClass.size() - 1) / 2))
        .findFirst()
        .orElse(FIRST_GUESS_TOKENS);
  }

  /** Returns the expected number of tokens of an answer. */
  public double predict(String workClass, String account) {
    Estimate own = bySource.get(new Source(workClass, account));
    if (own != null && own.count >= ACCOUNT_TRUST_COUNT) {
      return own.mean;
    }
    Estimate ofClass = byClass.get(workClass);
    return ofClass == null ? FIRST_GUESS_TOKENS : ofClass.mean;
  }
}
