package org.kumquatplank.core.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** In-memory log that injects the failures of the real log at random, from a seed. Thread-safe. */
public final class FakeLog implements EventLog {
  private final Map<String, List<String>> streams = new TreeMap<>();
  private final Map<String, Long> firstOffsets = new TreeMap<>();
  private final List<DelayedAppend> delayedAppends = new ArrayList<>();
  private final Random random;
  private double rejectProbability;
  private double lostResponseProbability;
  private double delayProbability;
  private boolean down;
  private long appends;

  private FakeLog(long seed) {
    random = new Random(seed);
  }

  /** An append that takes effect later. */
  private record DelayedAppend(String stream, String record) {}

  /** Returns a log without faults. */
  public static FakeLog create(long seed) {
    return new FakeLog(seed);
  }

  /** Sets the probabilities of a rejected append, a lost response, and a delayed append. */
  public synchronized FakeLog withFaults(double reject, double lose, double delay) {
    rejectProbability = reject;
    lostResponseProbability = lose;
    delayProbability = delay;
    return this;
  }

  public synchronized void setDown(boolean isDown) {
    down = isDown;
  }

  /** Makes all delayed appends take effect. */
  public synchronized void applyDelayedAppends() {
    List<DelayedAppend> pending = new ArrayList<>(delayedAppends);
    delayedAppends.clear();
    pending.forEach(append -> stream(append.stream()).add(append.record()));
  }

  public synchronized void retain(String stream, int newest) {
    List<String> records = stream(stream);
    int drop = Math.max(0, records.size() - newest);
    records.subList(0, drop).clear();
    firstOffsets.merge(stream, (long) drop, Long::sum);
  }

  private List<String> stream(String name) {
    return streams.computeIfAbsent(name, s -> new ArrayList<>());
  }

  @Override
  public synchronized long append(String stream, String record, Instant deadline) {
    if (down || random.nextDouble() < rejectProbability) {
      throw LogException.noEffect("injected fault: append rejected");
    }
    if (random.nextDouble() < delayProbability) {
      delayedAppends.add(new DelayedAppend(stream, record));
      throw LogException.unknownEffect("injected fault: append delayed", null);
    }
    appends++;
    stream(stream).add(record);
    long offset = firstOffsets.getOrDefault(stream, 0L) + stream(stream).size() - 1;
    if (random.nextDouble() < lostResponseProbability) {
      throw LogException.unknownEffect("injected fault: response lost", null);
    }
    return offset;
  }

  @Override
  public synchronized LogPage read(String stream, long from, Instant waitUntil) {
    if (down) {
      throw LogException.noEffect("injected fault: log down");
    }
    long first = firstOffsets.getOrDefault(stream, 0L);
    List<LogRecord> page = new ArrayList<>();
    long end = first + stream(stream).size();
    for (long i = Math.max(first, from); i < end; i++) {
      page.add(new LogRecord(i, stream(stream).get((int) (i - first))));
    }
    return new LogPage(first, Math.max(from, end), end, page);
  }

  public synchronized long appends() {
    return appends;
  }

  /** Returns all retained records of a stream. */
  public synchronized List<String> records(String stream) {
    return List.copyOf(stream(stream));
  }
}
