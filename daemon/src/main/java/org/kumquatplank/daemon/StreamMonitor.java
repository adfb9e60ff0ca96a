package org.kumquatplank.daemon;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.kumquatplank.core.routing.Action;

/**
 * Watches open engine streams and moves requests from a slow or silent engine to another one.
 *
 * <p>Thread-safe.
 */
final class StreamMonitor {
  private static final long MIN_SILENCE_MICROS = 100_000;

  private final ControlState state;
  private final MicroClock clock;
  private final Set<WatchedStream> streams = ConcurrentHashMap.newKeySet();

  StreamMonitor(ControlState state, MicroClock clock) {
    this.state = state;
    this.clock = clock;
  }

  /** An open response stream. */
  static final class WatchedStream {
    private final String requestId;
    private final EngineCall call;
    private volatile long lastProgressMicros;
    private volatile Optional<Action.Send> movedTo = Optional.empty();

    private WatchedStream(String requestId, EngineCall call, long now) {
      this.requestId = requestId;
      this.call = call;
      this.lastProgressMicros = now;
    }

    void recordProgress(long now) {
      lastProgressMicros = now;
    }

    /** Returns where the request resumes, or empty if the stream was not cancelled for a move. */
    Optional<Action.Send> movedTo() {
      return movedTo;
    }
  }

  WatchedStream watch(String requestId, EngineCall call) {
    WatchedStream stream = new WatchedStream(requestId, call, clock.micros());
    streams.add(stream);
    return stream;
  }

  void unwatch(WatchedStream stream) {
    streams.remove(stream);
  }

  /** Checks all open streams for progress; must run on the control thread. */
  void checkStreams() {
    long now = clock.micros();
    for (WatchedStream stream : streams) {
      long silenceMicros = now - stream.lastProgressMicros;
      boolean suspect =
          silenceMicros > MIN_SILENCE_MICROS
              ? state.router().recordSilence(stream.requestId, silenceMicros, now)
              : state.router().isSuspect(stream.requestId, now);
      if (suspect && stream.movedTo.isEmpty()) {
        move(stream, now);
      }
    }
  }

  private void move(WatchedStream stream, long now) {
    Optional<Action.Send> start = state.router().retry(stream.requestId, true, now);
    if (start.isPresent()) {
      stream.movedTo = start;
      streams.remove(stream);
      stream.call.discardConnections();
      stream.call.cancel();
    }
  }
}
