package org.kumquatplank.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts how many tokens a request generates, from earlier responses of its class and account.
 *
 * <p>Not thread-safe.
 */
public final class OutputLengthEstimator {
  private static final double DEFAULT_TOKENS = 200;
  private static final double MIN_SMOOTHING_FACTOR = 0.05;
  private static final int MIN_ACCOUNT_RESPONSES = 10;
  private static final int MAX_ACCOUNT_ESTIMATES = 10_000;

  private final Map<String, Estimate> byClass = new HashMap<>();
  private final Map<AccountAndClass, Estimate> byAccountAndClass = new HashMap<>();

  private OutputLengthEstimator() {}

  /** Returns an estimator without observations. */
  public static OutputLengthEstimator create() {
    return new OutputLengthEstimator();
  }

  /** Key of the estimate of one client account within one work class. */
  private record AccountAndClass(String workClass, String account) {}

  /** A mean that weights samples equally at first and exponentially later. */
  private static final class Estimate {
    private double mean = DEFAULT_TOKENS;
    private int count;

    void add(double tokens) {
      count++;
      double factor = Math.max(MIN_SMOOTHING_FACTOR, 1.0 / count);
      mean += factor * (tokens - mean);
    }
  }

  /** Records the length of a completed response. */
  public void observe(String workClass, String account, long tokens) {
    byClass.computeIfAbsent(workClass, c -> new Estimate()).add(tokens);
    AccountAndClass key = new AccountAndClass(workClass, account);
    if (byAccountAndClass.containsKey(key) || byAccountAndClass.size() < MAX_ACCOUNT_ESTIMATES) {
      byAccountAndClass.computeIfAbsent(key, s -> new Estimate()).add(tokens);
    }
  }

  /** Returns the lower median of the mean response lengths of all classes, in tokens. */
  public double medianClassLength() {
    return byClass.values().stream()
        .map(e -> e.mean)
        .sorted()
        .skip(Math.max(0, (byClass.size() - 1) / 2))
        .findFirst()
        .orElse(DEFAULT_TOKENS);
  }

  /** Returns the expected length of a response, in tokens. */
  public double predict(String workClass, String account) {
    Estimate own = byAccountAndClass.get(new AccountAndClass(workClass, account));
    if (own != null && own.count >= MIN_ACCOUNT_RESPONSES) {
      return own.mean;
    }
    Estimate ofClass = byClass.get(workClass);
    return ofClass == null ? DEFAULT_TOKENS : ofClass.mean;
  }
}
