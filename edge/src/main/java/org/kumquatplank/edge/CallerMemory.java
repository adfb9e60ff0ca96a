package org.kumquatplank.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.memory.ConnectionLimit;
import org.kumquatplank.core.memory.MemoryBudget;
import org.kumquatplank.platform.wire.EdgeSettings;

/**
 * The connections of callers and the account of the bytes that they hold.
 *
 * <p>Where the account is pressed, large requests wait and are read one after the other; where it
 * is exceeded, the connection that holds most without being served is closed. Confined to the
 * traffic thread.
 */
final class CallerMemory {
  /** Time without progress after which a request is closed while the account is pressed. */
  private static final long STALL_MICROS = 1_000_000;

  private static final long LOG_INTERVAL_MICROS = 1_000_000;

  /** Time for which one large request may keep others from being read. */
  private static final long READER_MICROS = 2_000_000;

  private final MemoryBudget budget;
  private final int maxConnections;
  private final EdgeMetrics metrics;
  private final LogThrottle log = LogThrottle.create(LOG_INTERVAL_MICROS);
  private final Set<CallerConnection> connections = new HashSet<>();
  private final Deque<CallerConnection> waiting = new ArrayDeque<>();
  private CallerConnection reader;
  private long readerUntil;

  /**
   * Whether the last search found no connection to close; until a request or sweep changes that.
   */
  private boolean noneEvictable;

  CallerMemory(EdgeSettings.Resources resources, EdgeMetrics metrics) {
    this.budget = MemoryBudget.of(Runtime.getRuntime().maxMemory(), resources.memoryBytes());
    this.maxConnections = ConnectionLimit.of(resources.fileDescriptors());
    this.metrics = metrics;
  }

  Set<CallerConnection> connections() {
    return connections;
  }

  long responseLimitBytes() {
    return budget.responseLimitBytes();
  }

  /** Adds a connection; the one that has been idle longest is closed if there are too many. */
  void open(CallerConnection connection) {
    if (connections.size() >= maxConnections) {
      CallerConnection longestIdle = null;
      for (CallerConnection other : connections) {
        if (other.isEvictable()
            && (longestIdle == null || other.lastActivityAt() < longestIdle.lastActivityAt())) {
          longestIdle = other;
        }
      }
      if (longestIdle == null) {
        evict(connection, "descriptors");
        return;
      }
      evict(longestIdle, "descriptors");
    }
    connections.add(connection);
  }

  void close(CallerConnection connection) {
    connections.remove(connection);
    waiting.remove(connection);
    onRequestEnded(connection);
  }

  /** Records how many bytes a connection holds more, and makes room if it is too much. */
  void add(long bytes) {
    budget.add(bytes);
    if (bytes > 0 && budget.isExceeded()) {
      makeRoom();
    }
  }

  /** Returns whether there is room for one more request to be served. */
  boolean hasRoom() {
    return !budget.isExceeded();
  }

  /** Closes the largest incomplete requests first, then the largest unread responses. */
  private void makeRoom() {
    while (budget.isExceeded() && !noneEvictable) {
      Optional<CallerConnection> largest =
          largest(false).or(() -> largest(true)).filter(c -> c.heldBytes() > 0);
      noneEvictable = largest.isEmpty();
      largest.ifPresent(c -> evict(c, "memory"));
    }
  }

  private Optional<CallerConnection> largest(boolean withResponse) {
    CallerConnection largest = null;
    for (CallerConnection other : connections) {
      if (other != reader
          && other.isEvictable()
          && other.hasUnwrittenResponse() == withResponse
          && (largest == null || other.heldBytes() > largest.heldBytes())) {
        largest = other;
      }
    }
    return Optional.ofNullable(largest).filter(c -> c.heldBytes() > 0);
  }

  boolean isPressed() {
    return budget.isPressed();
  }

  /**
   * Returns whether a connection has to stop reading; it is told when it may go on.
   *
   * @param requestBytes memory of the incomplete request that it receives, bytes
   */
  boolean mustWait(CallerConnection connection, long requestBytes) {
    if (connection == reader || !budget.mustWait(requestBytes)) {
      return false;
    }
    if (reader == null) {
      setReader(connection);
      return false;
    }
    waiting.addLast(connection);
    metrics.count("callers_paused");
    return true;
  }

  /** Lets the next connections read when the request of one is complete, or it is closed. */
  void onRequestEnded(CallerConnection connection) {
    if (connection == reader) {
      reader = null;
    }
    waiting.remove(connection);
    noneEvictable = false;
    resume();
  }

  private void setReader(CallerConnection connection) {
    reader = connection;
    readerUntil = Clock.micros() + READER_MICROS;
  }

  private void resume() {
    if (reader == null && budget.isPressed() && !waiting.isEmpty()) {
      setReader(waiting.pollFirst());
      reader.resumeReading();
    }
    while (!budget.isPressed() && !waiting.isEmpty()) {
      waiting.pollFirst().resumeReading();
    }
  }

  void sweep(long now) {
    noneEvictable = false;
    if (reader != null && now > readerUntil && !waiting.isEmpty()) {
      // It takes its turn again with its next read.
      reader = null;
    }
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.sweep(now);
      if (budget.isPressed()
          && connection.isEvictable()
          && connection.heldBytes() > 0
          && !connection.isPaused()
          && now - connection.lastActivityAt() > STALL_MICROS) {
        evict(connection, "stalled");
      }
    }
    resume();
  }

  private void evict(CallerConnection connection, String reason) {
    metrics.count("callers_closed_" + reason);
    log.pass(Clock.micros())
        .ifPresent(
            omitted ->
                EdgeLog.event("caller_closed")
                    .addKeyValue("reason", reason)
                    .addKeyValue("held_bytes", connection.heldBytes())
                    .addKeyValue("all_bytes", budget.heldBytes())
                    .addKeyValue("omitted", omitted)
                    .log());
    connections.remove(connection);
    connection.evict();
  }
}
