package org.kumquatplank.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Forecast of when a request that waits would start, and when it would be too late to start it.
 *
 * <p>Answers a burst that lasts longer than callers can wait, and servers lost in the middle of it:
 * rests on the starts of the last two seconds in which requests waited, and on the time that
 * responses of the route took. Without such evidence it says nothing, and requests wait. Not
 * thread-safe.
 */
public final class StartForecast {
  private static final long WINDOW_MICROS = 2_000_000;

  /** Starts below which the rate is not known. */
  private static final int MIN_STARTS = 5;

  /** Part of the forecast wait that must exceed the time left before a request is hopeless. */
  private static final double CERTAIN_PART = 0.5;

  /** Part of the usual time of a response in which a fast one may still come. */
  private static final double FAST_RESPONSE_PART = 0.5;

  private static final double AVERAGE_WEIGHT = 0.1;

  private final Deque<Long> starts = new ArrayDeque<>();
  private final Map<String, Double> responseMicros = new HashMap<>();
  private long waitingSince = Long.MAX_VALUE;

  private StartForecast() {}

  /** Returns a forecast without evidence. */
  public static StartForecast create() {
    return new StartForecast();
  }

  /** Records whether requests wait now. */
  public void recordWaiting(boolean waiting, long now) {
    if (!waiting) {
      waitingSince = Long.MAX_VALUE;
    } else if (waitingSince == Long.MAX_VALUE) {
      waitingSince = now;
    }
  }

  /** Records that requests that waited were started. */
  public void recordStarts(int count, long now) {
    for (int i = 0; i < count; i++) {
      starts.addLast(now);
    }
    evict(now);
  }

  private void evict(long now) {
    while (!starts.isEmpty() && starts.peekFirst() < now - WINDOW_MICROS) {
      starts.pollFirst();
    }
  }

  /** Records the time from a send to the end of its good response. */
  public void recordResponse(String route, long micros) {
    responseMicros.merge(route, (double) micros, (old, m) -> old + AVERAGE_WEIGHT * (m - old));
  }

  /** Returns the time within which no response of the route has to be expected, microseconds. */
  public long shortestResponseMicros(String route) {
    return (long) (FAST_RESPONSE_PART * responseMicros.getOrDefault(route, 0.0));
  }

  /** Returns the wait until a place is free for a request with others ahead, microseconds. */
  public OptionalLong waitMicros(int ahead, long now) {
    evict(now);
    long observed = Math.min(WINDOW_MICROS, now - waitingSince);
    if (observed < WINDOW_MICROS / 2 || starts.size() < MIN_STARTS) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(observed * (ahead + 1L) / starts.size());
  }

  /** Returns whether a request would start only after its latest start, as far as is certain. */
  public boolean isHopeless(int ahead, long latestStart, long now) {
    OptionalLong wait = waitMicros(ahead, now);
    return wait.isPresent() && now + (long) (CERTAIN_PART * wait.getAsLong()) > latestStart;
  }
}
