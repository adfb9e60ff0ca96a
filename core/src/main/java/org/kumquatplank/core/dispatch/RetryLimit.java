package org.kumquatplank.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits this instance to its share of the retries that all instances may send to a service.
 *
 * <p>Keeps a burst of failures from multiplying the load through retries. The limit for all
 * instances is a ratio of the requests in a sliding window plus a fixed allowance. One instance may
 * use the same ratio of its own requests and an equal part of the allowance. Not thread-safe.
 */
public final class RetryLimit {
  /** Part of the allowance that is used; the reserve covers instances that see too few peers. */
  private static final double ALLOWANCE_SHARE = 0.6;

  /**
   * Part of the ratio that is used. It needs little reserve, as the shares of all instances add up
   * to the limit even if the instances do not see each other.
   */
  private static final double RATIO_SHARE = 0.95;

  private final double ratio;
  private final double allowance;
  private final long windowMicros;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  private RetryLimit(double ratio, double allowance, long windowMicros) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMicros = windowMicros;
  }

  /**
   * Returns the limit for one service.
   *
   * @param ratio allowed retries per request
   * @param allowance additional retries allowed per window
   * @param windowMicros length of the window, microseconds
   */
  public static RetryLimit create(double ratio, double allowance, long windowMicros) {
    return new RetryLimit(ratio, allowance, windowMicros);
  }

  /** Counts a request of a caller, which raises the limit. */
  public void recordRequest(long now) {
    requests.addLast(now);
    evictExpired(requests, now);
  }

  /**
   * Acquires permission for one retry.
   *
   * @param instances number of live instances, which share the allowance
   * @return whether the limit allowed it
   */
  public boolean tryAcquire(int instances, long now) {
    evictExpired(requests, now);
    evictExpired(retries, now);
    double limit =
        RATIO_SHARE * ratio * requests.size()
            + ALLOWANCE_SHARE * allowance / Math.max(1, instances);
    if (retries.size() + 1 > limit) {
      return false;
    }
    retries.addLast(now);
    return true;
  }

  private void evictExpired(Deque<Long> timestamps, long now) {
    while (!timestamps.isEmpty() && timestamps.peekFirst() < now - windowMicros) {
      timestamps.pollFirst();
    }
  }
}
