package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Holds work back while the traffic thread may not know yet which callers have left.
 *
 * <p>After the thread has stood still, it reads a request before it reads that the caller has
 * closed the connection meanwhile. Work that would send bytes to a backend server then waits until
 * all connections have been read once more. Confined to the traffic thread.
 */
final class SendGate {
  /** Time without a periodic task after which the thread is behind; one runs every 250 ms. */
  private static final long MAX_TICK_GAP_MICROS = 350_000;

  private final EventLoop loop;
  private long lastTickAt = Clock.micros();
  private long holdsUntil;

  SendGate(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Records that a periodic task of the thread has run.
   *
   * <p>After a gap, callers' connections are accepted only gradually, so work is held for as long
   * as the gap lasted.
   */
  void recordTick(long now) {
    long gap = now - lastTickAt;
    if (gap > MAX_TICK_GAP_MICROS) {
      holdsUntil = now + gap;
    }
    lastTickAt = now;
  }

  /** Runs work now, or after all connections have been read if the thread is behind. */
  void run(long now, Runnable work) {
    if (now >= holdsUntil && now - lastTickAt <= MAX_TICK_GAP_MICROS) {
      work.run();
    } else {
      // A scheduled task that schedules another one has all connections read between the two.
      schedule(() -> schedule(work));
    }
  }

  private void schedule(Runnable work) {
    Runnable logged =
        () -> {
          try {
            work.run();
          } catch (RuntimeException e) {
            EdgeLog.problem("traffic", e);
          }
        };
    loop.schedule(logged, 0, TimeUnit.MILLISECONDS);
  }
}
