package org.kumquatplank.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A simulated clock that advances only when code sleeps on it or a test advances it. */
public final class FakeTime extends Clock implements Sleeper {
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  public void advance(Duration time) {
    now = now.plus(time);
  }

  @Override
  public boolean sleep(Duration time) {
    advance(time);
    return true;
  }

  @Override
  public Instant instant() {
    return now;
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }
}
