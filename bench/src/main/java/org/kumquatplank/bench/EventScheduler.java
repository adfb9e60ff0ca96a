package org.kumquatplank.bench;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler with a simulated clock, in microseconds.
 *
 * <p>Events run in the order of their time; events of the same time run in the order in which they
 * were scheduled. Not thread-safe.
 */
final class EventScheduler {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long nextSequence;

  /** An action at a time, in microseconds. The sequence number breaks ties. */
  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** Returns the simulated time in microseconds. */
  long now() {
    return now;
  }

  /** Schedules an action after a delay in microseconds. */
  void schedule(long delayMicros, Runnable action) {
    events.add(new Event(now + delayMicros, nextSequence++, action));
  }

  /** Schedules an action at a fixed interval until the given time. */
  void scheduleRepeating(long intervalMicros, long until, Runnable action) {
    schedule(
        intervalMicros,
        () -> {
          action.run();
          if (now + intervalMicros <= until) {
            scheduleRepeating(intervalMicros, until, action);
          }
        });
  }

  /** Runs all events up to and including the given time and sets the clock to it. */
  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().time() <= end) {
      Event next = events.poll();
      now = next.time();
      next.action().run();
    }
    now = end;
  }
}
