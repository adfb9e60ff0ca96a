package org.kumquatplank.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Decides which other instances are live, and to which of them each digest is sent.
 *
 * <p>Each instance hears few of the others itself, the fewer the more there are. So digests also
 * say when others were last heard of: those within a failure domain about all instances, those to
 * other failure domains, whose bytes are dear, about the sender's own. What counts is when a
 * process itself last sent, so a process that ended is gone everywhere a fixed time later, however
 * the news of it travels. Answers the loss of many instances at once, lost messages and partitions.
 * Not thread-safe.
 */
public final class LivenessTable {
  /** Number of instances that one digest is sent to. */
  static final int FAN_OUT = 6;

  /** Receivers in the same failure domain, since they prefer the same backend servers. */
  static final int SAME_DOMAIN_FAN_OUT = 4;

  /** Time-out while each digest reaches all: five of them are missed in a row, microseconds. */
  private static final long SMALL_TIMEOUT_MICROS = 1_400_000;

  /** Time-out up to {@link #LARGE_COUNT} instances, microseconds. */
  private static final long TIMEOUT_MICROS = 4_500_000;

  private static final long LARGE_TIMEOUT_MICROS = 7_000_000;

  private static final int LARGE_COUNT = 120;

  /** Limit on the instances that a digest within the failure domain tells of. */
  private static final int SAME_DOMAIN_REPORT_SIZE = 192;

  /** Limit on the instances that a digest to another failure domain tells of. */
  private static final int OTHER_DOMAIN_REPORT_SIZE = 24;

  /** One round in so many also reaches an instance that was lost, so that a partition heals. */
  private static final int LOST_ROUND_INTERVAL = 2;

  /** Time for which a lost instance is remembered, microseconds. */
  private static final long MEMORY_MICROS = 600_000_000;

  private static final int MAX_PHASE = 1_000;

  private final String failureDomain;
  private final Random random;

  /** Keeps instances that started together from sending to the same receivers each round. */
  private final int phase;

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Integer, Entry> byFingerprint = new HashMap<>();

  /** A process of another instance. */
  private static final class Entry {
    private final String name;
    private final String failureDomain;
    private final long startedMillis;
    private final int fingerprint;
    private long aliveAt;
    private boolean leaving;

    Entry(String name, String failureDomain, long startedMillis) {
      this.name = name;
      this.failureDomain = failureDomain;
      this.startedMillis = startedMillis;
      this.fingerprint = (int) RendezvousHashing.weight(name, Long.toString(startedMillis));
    }
  }

  private LivenessTable(String failureDomain, Random random) {
    this.failureDomain = failureDomain;
    this.random = random;
    this.phase = random.nextInt(MAX_PHASE);
  }

  /** Returns the table of an instance that knows no others. */
  public static LivenessTable create(String failureDomain, Random random) {
    return new LivenessTable(failureDomain, random);
  }

  /** What the first or next digest of an instance shows. */
  public enum Hearing {
    /** It comes from a process that a later one has replaced. */
    REPLACED,
    /** The instance was known to be live. */
    KNOWN,
    /** The instance is new, restarted or was lost: it may not know this one. */
    NEW
  }

  /** Records a digest of the instance itself. */
  public Hearing hear(String name, String domain, long startedMillis, boolean leaving, long now) {
    Entry entry = entries.get(name);
    if (entry != null && entry.startedMillis > startedMillis && isLive(entry, now)) {
      return Hearing.REPLACED;
    }
    boolean isNew = entry == null || entry.startedMillis != startedMillis;
    boolean wasLive = !isNew && isLive(entry, now);
    if (isNew) {
      forget(entry);
      entry = new Entry(name, domain, startedMillis);
      entries.put(name, entry);
      byFingerprint.put(entry.fingerprint, entry);
    }
    entry.aliveAt = Math.max(entry.aliveAt, now);
    entry.leaving |= leaving;
    return wasLive ? Hearing.KNOWN : Hearing.NEW;
  }

  private void forget(Entry entry) {
    if (entry != null) {
      byFingerprint.remove(entry.fingerprint, entry);
    }
  }

  /** Records what another instance knows. */
  public void hearOf(LivenessReport report, long now) {
    for (int i = 0; i < report.size(); i++) {
      Entry entry = byFingerprint.get(report.fingerprint(i));
      if (entry == null) {
        continue;
      }
      entry.leaving |= report.isLeaving(i);
      entry.aliveAt = Math.max(entry.aliveAt, now - report.age(i) * LivenessReport.UNIT_MICROS);
    }
  }

  /** Returns whether the instance is live. */
  public boolean isLive(String name, long now) {
    Entry entry = entries.get(name);
    return entry != null && isLive(entry, now);
  }

  private boolean isLive(Entry entry, long now) {
    return now - entry.aliveAt < timeoutMicros();
  }

  /** Returns whether the instance is live and hasn't said that it leaves. */
  public boolean acceptsRequests(String name, long now) {
    Entry entry = entries.get(name);
    return entry != null && !entry.leaving && isLive(entry, now);
  }

  /** Returns the number of other instances that are live. */
  public int liveCount(long now) {
    int count = 0;
    for (Entry entry : entries.values()) {
      count += isLive(entry, now) ? 1 : 0;
    }
    return count;
  }

  private long timeoutMicros() {
    if (entries.size() <= FAN_OUT) {
      return SMALL_TIMEOUT_MICROS;
    }
    return entries.size() <= LARGE_COUNT ? TIMEOUT_MICROS : LARGE_TIMEOUT_MICROS;
  }

  /** Forgets instances that have been lost for long, and returns their names. */
  public Collection<String> removeForgotten(long now) {
    List<String> forgotten = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (now - entry.aliveAt > MEMORY_MICROS) {
        forgotten.add(entry.name);
      }
    }
    forgotten.forEach(name -> forget(entries.remove(name)));
    return forgotten;
  }

  /**
   * The receivers of a digest.
   *
   * @param sameDomain instances of the own failure domain, in turn
   * @param others some of the others, and at times one that was lost
   */
  public record Receivers(List<String> sameDomain, List<String> others) {}

  /** Returns the receivers of the digest of a round. */
  public Receivers receivers(int round, long now) {
    List<String> same = new ArrayList<>();
    List<String> others = new ArrayList<>();
    List<String> lost = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (!isLive(entry, now)) {
        lost.add(entry.name);
      } else if (entry.failureDomain.equals(failureDomain)) {
        same.add(entry.name);
      } else {
        others.add(entry.name);
      }
    }
    List<String> sameDomain = rotate(same, SAME_DOMAIN_FAN_OUT, round + phase);
    List<String> chosen = chooseSome(others, FAN_OUT - sameDomain.size());
    if (round % LOST_ROUND_INTERVAL == 0) {
      chosen.addAll(chooseSome(lost, 1));
    }
    return new Receivers(sameDomain, chosen);
  }

  /** Returns the slice of a list for a round, so that all elements take turns over the rounds. */
  public static <T> List<T> rotate(List<T> all, int maxCount, int round) {
    if (all.size() <= maxCount) {
      return all;
    }
    List<T> part = new ArrayList<>(maxCount);
    for (int i = 0; i < maxCount; i++) {
      part.add(all.get(Math.floorMod(round * maxCount + i, all.size())));
    }
    return part;
  }

  /** Returns some elements of a list at random, in a list of its own. */
  private List<String> chooseSome(List<String> all, int maxCount) {
    int count = Math.min(maxCount, all.size());
    for (int i = 0; i < count; i++) {
      int other = i + random.nextInt(all.size() - i);
      String swapped = all.get(i);
      all.set(i, all.get(other));
      all.set(other, swapped);
    }
    return new ArrayList<>(all.subList(0, count));
  }

  /** Returns what a digest to an instance of the own failure domain tells. */
  public LivenessReport sameDomainReport(long now) {
    return report(SAME_DOMAIN_REPORT_SIZE, false, now);
  }

  /** Returns what a digest to an instance of another failure domain tells. */
  public LivenessReport otherDomainReport(long now) {
    return report(OTHER_DOMAIN_REPORT_SIZE, true, now);
  }

  private LivenessReport report(int maxSize, boolean ownDomainOnly, long now) {
    List<Entry> told = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean isTold = !ownDomainOnly || entry.failureDomain.equals(failureDomain);
      if (isTold && isLive(entry, now)) {
        told.add(entry);
      }
    }
    int count = Math.min(maxSize, told.size());
    int first = count < told.size() ? random.nextInt(told.size()) : 0;
    LivenessReport report = LivenessReport.create(count);
    for (int i = 0; i < count; i++) {
      Entry entry = told.get((first + i) % told.size());
      report.add(entry.fingerprint, age(entry, now), entry.leaving);
    }
    return report;
  }

  /** Returns the age to tell: rounded up, and one more for the time on the way. */
  private static int age(Entry entry, long now) {
    long units = Math.ceilDiv(Math.max(0, now - entry.aliveAt), LivenessReport.UNIT_MICROS) + 1;
    return (int) Math.min(units, LivenessReport.MAX_AGE);
  }
}
