package org.kumquatplank.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This instance's part of the repeats that all instances together may send to a service.
 *
 * <p>Answers a burst of failures: repeats must not add up to a second load. Not thread-safe. The
 * limit over all instances is a share of the requests in a window plus a fixed allowance; the part
 * of one instance is the same share of its own requests and an equal part of the allowance.
 */
public final class RetryLimit {
  /** Part of the allowance that is used; the rest covers instances that see fewer peers. */
  private static final double ALLOWANCE_SHARE = 0.6;

  /**
   * Part of the ratio that is used. It needs little reserve: the parts of all instances add up to
   * the limit whatever they know of each other.
   */
  private static final double RATIO_SHARE = 0.95;

  private final double ratio;
  private final double allowance;
  private final long windowMicros;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  private RetryLimit(double ratio, double allowance, long windowMicros) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMicros = windowMicros;
  }

  /**
   * Returns the limit for one service.
   *
   * @param ratio repeats allowed for each request
   * @param allowance repeats allowed in a window besides
   * @param windowMicros length of the window, microseconds
   */
  public static RetryLimit create(double ratio, double allowance, long windowMicros) {
    return new RetryLimit(ratio, allowance, windowMicros);
  }

  /** Counts a request of a caller. */
  public void request(long now) {
    requests.addLast(now);
    drop(requests, now);
  }

  /**
   * Takes one repeat out of the limit.
   *
   * @param instances live instances, which share the allowance
   * @return whether there was one left
   */
  public boolean tryTake(int instances, long now) {
    drop(requests, now);
    drop(repeats, now);
    double most =
        RATIO_SHARE * ratio * requests.size()
            + ALLOWANCE_SHARE * allowance / Math.max(1, instances);
    if (repeats.size() + 1 > most) {
      return false;
    }
    repeats.addLast(now);
    return true;
  }

  private void drop(Deque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() < now - windowMicros) {
      times.pollFirst();
    }
  }
}
