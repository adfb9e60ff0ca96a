package org.kumquatplank.core.admission;

import org.kumquatplank.core.dispatch.DispatchRequest;

/**
 * One request that waits.
 *
 * @param <T> queued item
 */
final class Waiting<T> {
  private final DispatchRequest request;
  private final T item;
  private final Lane lane;
  private long latestStart;
  private boolean removed;
  private boolean late;

  Waiting(DispatchRequest request, T item, Lane lane, long latestStart) {
    this.request = request;
    this.item = item;
    this.lane = lane;
    this.latestStart = latestStart;
  }

  DispatchRequest request() {
    return request;
  }

  T item() {
    return item;
  }

  Lane lane() {
    return lane;
  }

  long latestStart() {
    return latestStart;
  }

  void setLatestStart(long newLatestStart) {
    latestStart = newLatestStart;
  }

  boolean isRemoved() {
    return removed;
  }

  void setRemoved(boolean nowRemoved) {
    removed = nowRemoved;
  }

  /** Returns whether the latency target has passed. */
  boolean isLate() {
    return late;
  }

  void markLate() {
    late = true;
  }

  /** Returns the tokens that a backend server has to read and generate, 1 for a plain request. */
  long work() {
    return Math.max(1L, (long) request.promptTokens() + request.maxOutputTokens());
  }
}
