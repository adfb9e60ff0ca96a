package org.kumquatplank.core.claims;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.time.Sleeper;

/**
 * One claims stream and its index. Entries that arrive concurrently are batched into one append.
 *
 * <p>Thread-safe. An entry is acknowledged only after it has been read back from the log, so an
 * append whose response was lost is resolved by the contents of the log.
 */
final class ClaimPartition {
  private static final int MAX_BATCH_ENTRIES = 256;
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);

  private final EventLog log;
  private final String stream;
  private final Executor executor;
  private final Clock clock;
  private final Sleeper sleeper;
  private final Object indexLock = new Object();
  private final ClaimIndex index = new ClaimIndex();
  private final Object queueLock = new Object();
  private final List<PendingAppend> queue = new ArrayList<>();
  private Set<ClaimEntry> unconfirmed = new HashSet<>();
  private boolean flushing;
  private long nextOffset;

  ClaimPartition(EventLog log, String stream, Executor executor, Clock clock, Sleeper sleeper) {
    this.log = log;
    this.stream = stream;
    this.executor = executor;
    this.clock = clock;
    this.sleeper = sleeper;
  }

  /** An entry that is queued for an append. */
  private record PendingAppend(ClaimEntry entry, Instant deadline, CompletableFuture<Void> done) {}

  /**
   * Appends the entry and blocks until the index contains it.
   *
   * @throws LogException if the index does not contain the entry by the deadline
   */
  void append(ClaimEntry entry, Instant deadline) {
    PendingAppend pending = new PendingAppend(entry, deadline, new CompletableFuture<>());
    synchronized (queueLock) {
      queue.add(pending);
      if (!flushing) {
        flushing = true;
        executor.execute(this::flushAll);
      }
    }
    try {
      pending.done().join();
    } catch (CompletionException e) {
      String reason = e.getCause().getMessage();
      throw LogException.unknownEffect("claim not durable, " + reason, e.getCause());
    }
  }

  private void flushAll() {
    while (true) {
      List<PendingAppend> batch;
      synchronized (queueLock) {
        if (queue.isEmpty()) {
          flushing = false;
          return;
        }
        int size = Math.min(queue.size(), MAX_BATCH_ENTRIES);
        batch = new ArrayList<>(queue.subList(0, size));
        queue.subList(0, size).clear();
      }
      flush(batch);
    }
  }

  private void flush(List<PendingAppend> batch) {
    List<PendingAppend> remaining = batch;
    while (!remaining.isEmpty()) {
      LogException failure = null;
      Instant deadline = latestDeadline(remaining);
      Set<ClaimEntry> entries =
          remaining.stream().map(PendingAppend::entry).collect(Collectors.toSet());
      trackUnconfirmed(entries);
      try {
        failure = tryAppend(entries, deadline);
        catchUp(deadline);
        remaining = completeConfirmed(remaining);
      } catch (LogException e) {
        failure = e;
      } catch (RuntimeException e) {
        remaining.forEach(pending -> pending.done().completeExceptionally(e));
        return;
      }
      if (failure != null) {
        remaining = failExpired(remaining, failure);
        sleeper.sleep(RETRY_DELAY);
      }
    }
  }

  /**
   * Appends the entries.
   *
   * @return null on success, or the failure if its effect is unknown: the log may nevertheless
   *     contain the entries
   * @throws LogException if the entries were certainly not appended
   */
  private LogException tryAppend(Set<ClaimEntry> entries, Instant deadline) {
    try {
      log.append(stream, ClaimCodec.toJson(List.copyOf(entries)), deadline);
      return null;
    } catch (LogException e) {
      if (e.effect() == LogException.Effect.NONE) {
        throw e;
      }
      return e;
    }
  }

  private void trackUnconfirmed(Set<ClaimEntry> entries) {
    synchronized (indexLock) {
      unconfirmed = new HashSet<>(entries);
    }
  }

  private List<PendingAppend> completeConfirmed(List<PendingAppend> batch) {
    Set<ClaimEntry> notYetRead;
    synchronized (indexLock) {
      notYetRead = Set.copyOf(unconfirmed);
    }
    List<PendingAppend> remaining = new ArrayList<>();
    for (PendingAppend pending : batch) {
      if (notYetRead.contains(pending.entry())) {
        remaining.add(pending);
      } else {
        pending.done().complete(null);
      }
    }
    return remaining;
  }

  private List<PendingAppend> failExpired(List<PendingAppend> batch, LogException cause) {
    Instant now = clock.instant();
    List<PendingAppend> remaining = new ArrayList<>();
    for (PendingAppend pending : batch) {
      if (now.isBefore(pending.deadline())) {
        remaining.add(pending);
      } else {
        pending.done().completeExceptionally(cause);
      }
    }
    return remaining;
  }

  private static Instant latestDeadline(List<PendingAppend> batch) {
    return batch.stream().map(PendingAppend::deadline).max(Instant::compareTo).orElseThrow();
  }

  /**
   * Reads the stream to its end and applies all new records to the index.
   *
   * @throws LogException if the log cannot be read to its end by the deadline
   */
  void catchUp(Instant deadline) {
    synchronized (indexLock) {
      LogPage page;
      do {
        if (clock.instant().isAfter(deadline)) {
          throw LogException.noEffect("the log was not read to its end in time");
        }
        page = log.read(stream, nextOffset, Instant.MIN);
        // A record may claim a key whose earlier entries have passed retention, so they go first.
        index.evictBefore(page.firstRetained());
        for (LogRecord record : page.records()) {
          apply(record);
        }
        nextOffset = Math.max(nextOffset, page.next());
      } while (!page.reachesEnd());
    }
  }

  private void apply(LogRecord record) {
    for (ClaimEntry entry : ClaimCodec.fromJson(record.text())) {
      index.apply(record.offset(), entry);
      unconfirmed.remove(entry);
    }
  }

  Optional<ClaimIndex.KeyState> find(ClaimKey key) {
    synchronized (indexLock) {
      return index.find(key);
    }
  }

  int size() {
    synchronized (indexLock) {
      return index.size();
    }
  }
}
