package org.kumquatplank.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class StartForecastTest {
  private static final long SECOND = 1_000_000;

  private final StartForecast forecast = StartForecast.create();

  private void startEvery(long micros, long from, long until) {
    for (long at = from; at < until; at += micros) {
      forecast.recordStarts(1, at);
    }
  }

  /** A burst that outlasts the callers: ten starts a second, a hundred ahead. */
  @Example
  void testForecastsFromTheRateOfStarts() {
    forecast.recordWaiting(true, 0);
    startEvery(SECOND / 10, 1, 2 * SECOND);
    assertThat(forecast.waitMicros(99, 2 * SECOND)).hasValue(10 * SECOND);
    assertThat(forecast.isHopeless(99, 5 * SECOND, 2 * SECOND)).isTrue();
    assertThat(forecast.isHopeless(99, 8 * SECOND, 2 * SECOND)).isFalse();
  }

  /** The start of a burst, or servers lost: nothing is known, so nothing is rejected for it. */
  @Example
  void testSaysNothingWithoutStarts() {
    forecast.recordWaiting(true, 0);
    assertThat(forecast.waitMicros(10_000, 5 * SECOND)).isEmpty();
    startEvery(SECOND / 10, 5 * SECOND, 6 * SECOND);
    assertThat(forecast.waitMicros(10_000, 20 * SECOND)).isEmpty();
  }

  /** Requests that came and went without waiting are no evidence of a rate. */
  @Example
  void testSaysNothingRightAfterRequestsBeganToWait() {
    startEvery(SECOND / 10, 0, SECOND);
    forecast.recordWaiting(true, SECOND);
    assertThat(forecast.waitMicros(10_000, SECOND + SECOND / 4)).isEmpty();
    forecast.recordWaiting(false, SECOND + SECOND / 2);
    assertThat(forecast.waitMicros(10_000, 2 * SECOND)).isEmpty();
  }

  @Example
  void testLatestStartLeavesHalfOfTheUsualResponseTime() {
    assertThat(forecast.shortestResponseMicros("read")).isZero();
    forecast.recordResponse("read", 400_000);
    assertThat(forecast.shortestResponseMicros("read")).isEqualTo(200_000);
    assertThat(forecast.shortestResponseMicros("tell")).isZero();
  }
}
