package org.kumquatplank.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.kumquatplank.platform.wire.CallerRequestHead;

/**
 * Requests that arrive before the instance knows its configuration.
 *
 * <p>Answers the return of all instances at once: callers connect as soon as a port listens, and a
 * rejection would use up their retries within the second that the configuration still takes. What
 * is held is bounded in time, count and bytes. Confined to the traffic thread.
 */
final class StartupHold {
  private static final long MAX_MILLIS = 1_500;

  /** Part of the time of a request that it may be held; a caller keeps the rest for a retry. */
  private static final long PARTS_OF_TIME_LEFT = 3;

  private static final int MAX_REQUESTS = 512;
  private static final long MAX_BYTES = 8 * 1024 * 1024;
  private static final long MICROS_PER_MILLI = 1_000;

  private final Deque<Held> requests = new ArrayDeque<>();
  private long bytes;

  /** A held request. */
  static final class Held {
    private final CallerConnection connection;
    private final CallerRequestHead head;
    private final byte[] body;
    private final long arrivedAt;
    private final long heldUntil;

    private Held(
        CallerConnection connection,
        CallerRequestHead head,
        byte[] body,
        long arrivedAt,
        long heldUntil) {
      this.connection = connection;
      this.head = head;
      this.body = body;
      this.arrivedAt = arrivedAt;
      this.heldUntil = heldUntil;
    }

    CallerConnection connection() {
      return connection;
    }

    CallerRequestHead head() {
      return head;
    }

    byte[] body() {
      return body;
    }

    /** Returns the time of arrival, microseconds. */
    long arrivedAt() {
      return arrivedAt;
    }
  }

  /** Holds a request; returns false if there is no room for it. */
  boolean add(CallerConnection connection, CallerRequestHead head, byte[] body, long now) {
    if (requests.size() >= MAX_REQUESTS || bytes + body.length > MAX_BYTES) {
      return false;
    }
    long heldUntil = now + holdMicros(head);
    requests.addLast(new Held(connection, head, body, now, heldUntil));
    bytes += body.length;
    return true;
  }

  /** Returns for how long a request may be held, microseconds. */
  static long holdMicros(CallerRequestHead head) {
    long millis =
        Math.min(
            MAX_MILLIS * PARTS_OF_TIME_LEFT,
            head.timeoutMillis().orElse(MAX_MILLIS * PARTS_OF_TIME_LEFT));
    return Math.max(0, millis) * MICROS_PER_MILLI / PARTS_OF_TIME_LEFT;
  }

  /** Hands over all requests whose caller is still there. */
  void releaseAll(Consumer<Held> work) {
    release(Long.MAX_VALUE, work);
  }

  /** A request that fails must not keep the others from a response. */
  private static void handOver(Held held, Consumer<Held> work) {
    try {
      work.accept(held);
    } catch (RuntimeException e) {
      EdgeLog.problem("startup_hold", e);
      held.connection.abort();
    }
  }

  /** Hands over the requests that were held for long enough, and whose caller is still there. */
  void release(long now, Consumer<Held> work) {
    Deque<Held> kept = new ArrayDeque<>();
    Deque<Held> due = new ArrayDeque<>();
    for (Held held : requests) {
      (now >= held.heldUntil ? due : kept).addLast(held);
    }
    requests.clear();
    requests.addAll(kept);
    for (Held held : due) {
      bytes -= held.body.length;
      if (held.connection.isOpen()) {
        handOver(held, work);
      }
    }
  }
}
