package org.kumquatplank.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.dispatch.CrashEvidence.BlockedSegment;
import org.kumquatplank.core.dispatch.CrashEvidence.Crash;
import org.kumquatplank.core.dispatch.CrashEvidence.Response;
import org.kumquatplank.core.dispatch.CrashEvidence.SuspectSegment;

/**
 * Finds prompt segments that crash the backend servers that begin to respond to them, and blocks
 * the requests that have them.
 *
 * <p>Every instance tracks the crashes that it has seen or was told of. The evidence of instances
 * merges to the same result in any order and however often it arrives, so lost and repeated
 * datagrams do no harm. A segment is blocked after several crashes without a response in between to
 * any request that has it. A crash counts for one segment only, the one that explains most crashes,
 * so that sound segments of the same requests are not blocked with it. A blocked segment is tried
 * once in a while with a single request. Not thread-safe.
 */
public final class SegmentCrashTracker {
  /** Crashes under a segment after which it is blocked; fewer may be chance. */
  private static final int MIN_CRASHES = 3;

  /** Different requests needed, as a retried request brings all its segments each time. */
  private static final int MIN_REQUESTS = 2;

  /** Crashes closer together count as one, since servers that share a rack may fail together. */
  private static final long MIN_CRASH_SPACING_MICROS = 100_000;

  /** Time for responses to other requests, and the news of them, to arrive after the crashes. */
  private static final long SETTLE_MICROS = 700_000;

  /** How long a crash counts. */
  private static final long RETENTION_MICROS = 60_000_000;

  /** How long crashes are sent to peers, which pass them on themselves. */
  private static final long RELAY_MICROS = 4_000_000;

  /** Time until a blocked segment is tried; each failed trial doubles it. */
  private static final long TRIAL_INTERVAL_MICROS = 30_000_000;

  /** The same for the first trial of a segment that had responses a short while ago. */
  private static final long EARLY_TRIAL_MICROS = 2_000_000;

  private static final int MAX_TRIAL_DOUBLINGS = 6;
  private static final int MAX_CRASHES = 64;
  private static final int MAX_SUSPECTS_PER_CRASH = 64;
  private static final int MAX_BLOCKS = 64;
  private static final int MAX_SENT_RESPONSES = 128;
  private static final int MAX_SEGMENTS_WITH_RESPONSES = 2_048;

  private final Map<String, Crash> crashes = new HashMap<>();
  private final Map<String, BlockedSegment> blocks = new HashMap<>();
  private final Map<String, Long> lastResponseAt =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_SEGMENTS_WITH_RESPONSES;
        }
      };

  /** Segments that peers may still block though there was a response under them. */
  private final Set<String> unblocked = new HashSet<>();

  /** Time from which the blocks may differ from what the evidence says, microseconds. */
  private long updateDueAt = Long.MAX_VALUE;

  private SegmentCrashTracker() {}

  /** Returns a tracker without evidence. */
  public static SegmentCrashTracker create() {
    return new SegmentCrashTracker();
  }

  /**
   * Records a crash, or more lost requests of one that is known.
   *
   * @param backend id and start time of the process that ended
   * @param lost requests that were lost before their response began
   */
  public void recordCrash(String backend, Collection<DispatchRequest> lost, long now) {
    Map<String, SuspectSegment> suspects = new HashMap<>();
    for (DispatchRequest request : lost) {
      List<PromptSegment> segments = request.sharedSegments();
      for (int depth = 0; depth < segments.size(); depth++) {
        String id = segments.get(depth).id();
        suspects.merge(
            id,
            new SuspectSegment(id, depth, Set.of(request.id().hashCode())),
            SuspectSegment::merge);
      }
    }
    // The segments that had no response for the longest time come first, for the limit below.
    List<SuspectSegment> ordered =
        suspects.values().stream()
            .sorted(Comparator.comparingLong(s -> respondedAt(s.id())))
            .toList();
    mergeCrash(new Crash(backend, now, ordered), now);
    updateBlocks(now);
  }

  /** Records that a backend server responded to a request and did not crash. */
  public void recordResponse(DispatchRequest request, long now) {
    request.sharedSegments().forEach(segment -> mergeResponse(new Response(segment.id(), now)));
  }

  /** Merges the evidence of a peer. */
  public void merge(CrashEvidence evidence, long now) {
    evidence.responses().forEach(this::mergeResponse);
    evidence.crashes().forEach(crash -> mergeCrash(crash, now));
    evidence.blocks().forEach(this::mergeBlock);
    updateBlocks(now);
  }

  private long respondedAt(String segment) {
    return lastResponseAt.getOrDefault(segment, Long.MIN_VALUE);
  }

  private void mergeResponse(Response response) {
    lastResponseAt.merge(response.segment(), response.at(), Math::max);
    BlockedSegment block = blocks.get(response.segment());
    if (block != null && respondedAt(block.id()) > block.crashedAt()) {
      blocks.remove(block.id());
      unblocked.add(block.id());
    }
  }

  private void mergeBlock(BlockedSegment block) {
    if (respondedAt(block.id()) > block.crashedAt()) {
      unblocked.add(block.id());
    } else {
      blocks.merge(block.id(), block, BlockedSegment::merge);
      dropEarliestBlocks();
    }
  }

  /**
   * Keeps the blocks with the latest crashes. Segments that are still asked for are tried from time
   * to time, and crash again, so the others are dropped; all instances keep the same ones.
   */
  private void dropEarliestBlocks() {
    while (blocks.size() > MAX_BLOCKS) {
      blocks.values().stream()
          .min(
              Comparator.comparingLong(BlockedSegment::crashedAt).thenComparing(BlockedSegment::id))
          .ifPresent(earliest -> blocks.remove(earliest.id()));
    }
  }

  private void mergeCrash(Crash crash, long now) {
    crashes.values().removeIf(c -> c.at() < now - RETENTION_MICROS);
    if (crash.at() < now - RETENTION_MICROS) {
      return;
    }
    Crash known = crashes.get(crash.backend());
    if (known == null) {
      if (crashes.size() < MAX_CRASHES) {
        crashes.put(crash.backend(), limited(crash, crash.at(), crash.suspects()));
        updateDueAt = now;
      }
      return;
    }
    Map<String, SuspectSegment> union = new LinkedHashMap<>();
    known.suspects().forEach(s -> union.put(s.id(), s));
    crash.suspects().forEach(s -> union.merge(s.id(), s, SuspectSegment::merge));
    long at = Math.min(known.at(), crash.at());
    Crash merged = limited(crash, at, List.copyOf(union.values()));
    if (!merged.equals(known)) {
      crashes.put(crash.backend(), merged);
      updateDueAt = now;
    }
  }

  private static Crash limited(Crash crash, long at, List<SuspectSegment> suspects) {
    int size = Math.min(MAX_SUSPECTS_PER_CRASH, suspects.size());
    return new Crash(crash.backend(), at, suspects.subList(0, size));
  }

  /**
   * Blocks the segments that explain the crashes, beginning with the one that explains most.
   *
   * <p>Waits until responses of other requests have had time to show which segments are sound. To
   * be called repeatedly, since a segment may become blocked as time passes.
   */
  public void updateBlocks(long now) {
    if (now < updateDueAt) {
      return;
    }
    List<Crash> unexplained = new ArrayList<>(crashes.values());
    unexplained.sort(Comparator.comparingLong(Crash::at));
    Map<String, Integer> explaining = new HashMap<>();
    Optional<Candidate> best = bestCandidate(unexplained);
    while (best.isPresent() && now - best.get().sufficientAt() >= SETTLE_MICROS) {
      Candidate candidate = best.get();
      explaining.put(candidate.segment(), candidate.crashes());
      unexplained.removeIf(c -> suspect(c, candidate.segment()).isPresent());
      block(candidate, now);
      best = bestCandidate(unexplained);
    }
    updateDueAt = best.map(c -> c.sufficientAt() + SETTLE_MICROS).orElse(Long.MAX_VALUE);
    blocks.values().removeIf(b -> isExplained(b.id(), explaining));
  }

  private void block(Candidate candidate, long now) {
    boolean recentlySound = candidate.respondedAt() > now - RETENTION_MICROS;
    long trialMicros = recentlySound ? EARLY_TRIAL_MICROS : TRIAL_INTERVAL_MICROS;
    BlockedSegment known = blocks.get(candidate.segment());
    long nextTrialAt = known == null ? now + trialMicros : known.nextTrialAt();
    mergeBlock(new BlockedSegment(candidate.segment(), candidate.crashedAt(), 0, nextTrialAt));
  }

  /** Returns whether segments with more crashes explain all crashes under a segment. */
  private boolean isExplained(String segment, Map<String, Integer> explaining) {
    List<Crash> underSegment =
        crashes.values().stream().filter(c -> suspect(c, segment).isPresent()).toList();
    return !explaining.containsKey(segment)
        && !underSegment.isEmpty()
        && underSegment.stream()
            .allMatch(
                c ->
                    c.suspects().stream()
                        .anyMatch(s -> explaining.getOrDefault(s.id(), 0) > underSegment.size()));
  }

  private static Optional<SuspectSegment> suspect(Crash crash, String segment) {
    return crash.suspects().stream().filter(s -> s.id().equals(segment)).findFirst();
  }

  /**
   * A segment under which servers crashed since the last response under it.
   *
   * @param sufficientAt time of the crash that was the first to suffice for a block
   * @param crashedAt time of the last crash
   */
  private record Candidate(
      String segment,
      int crashes,
      int requests,
      long respondedAt,
      int depth,
      long sufficientAt,
      long crashedAt) {}

  private Optional<Candidate> bestCandidate(List<Crash> unexplained) {
    Set<String> segments = new HashSet<>();
    unexplained.forEach(crash -> crash.suspects().forEach(s -> segments.add(s.id())));
    // Requests with the crashing segment share the sound ones before it with other requests, so
    // those have the later response. A deeper segment is shared by fewer requests.
    return segments.stream()
        .map(segment -> candidate(segment, unexplained))
        .filter(c -> c.crashes() >= MIN_CRASHES && c.requests() >= MIN_REQUESTS)
        .max(
            Comparator.comparingInt(Candidate::crashes)
                .thenComparing(Comparator.comparingLong(Candidate::respondedAt).reversed())
                .thenComparingInt(Candidate::depth)
                .thenComparing(Candidate::segment));
  }

  private Candidate candidate(String segment, List<Crash> inOrderOfTime) {
    long respondedAt = respondedAt(segment);
    Set<Integer> requests = new HashSet<>();
    int count = 0;
    int depth = 0;
    long countedAt = Long.MIN_VALUE / 2;
    long sufficientAt = Long.MAX_VALUE;
    long crashedAt = Long.MIN_VALUE;
    for (Crash crash : inOrderOfTime) {
      Optional<SuspectSegment> suspect = suspect(crash, segment);
      if (suspect.isEmpty() || crash.at() <= respondedAt) {
        continue;
      }
      requests.addAll(suspect.get().requests());
      depth = Math.max(depth, suspect.get().depth());
      crashedAt = crash.at();
      if (crash.at() - countedAt >= MIN_CRASH_SPACING_MICROS) {
        count++;
        countedAt = crash.at();
      }
      if (count >= MIN_CRASHES) {
        sufficientAt = Math.min(sufficientAt, crash.at());
      }
    }
    return new Candidate(
        segment, count, requests.size(), respondedAt, depth, sufficientAt, crashedAt);
  }

  /** Returns the blocked segment of a request, if it has one. */
  public Optional<BlockedSegment> blockOf(DispatchRequest request) {
    if (blocks.isEmpty()) {
      return Optional.empty();
    }
    return request.sharedSegments().stream()
        .filter(s -> blocks.containsKey(s.id()))
        .findFirst()
        .map(s -> blocks.get(s.id()));
  }

  /** Returns whether a request may be sent as the trial of its blocked segment. */
  public boolean isTrialDue(BlockedSegment block, DispatchRequest request, long now) {
    return now >= block.nextTrialAt()
        && request.sharedSegments().stream()
            .filter(s -> !s.id().equals(block.id()))
            .noneMatch(s -> crashedSinceResponse(s.id()));
  }

  /** A trial shows nothing if another segment of the request may crash the server. */
  private boolean crashedSinceResponse(String segment) {
    long respondedAt = respondedAt(segment);
    return crashes.values().stream()
        .anyMatch(c -> c.at() > respondedAt && suspect(c, segment).isPresent());
  }

  /** Records that a request is sent as the trial of a blocked segment. */
  public void recordTrial(BlockedSegment block, long now) {
    long interval = TRIAL_INTERVAL_MICROS << Math.min(block.trials(), MAX_TRIAL_DOUBLINGS);
    blocks.put(
        block.id(),
        new BlockedSegment(block.id(), block.crashedAt(), block.trials() + 1, now + interval));
  }

  /** Returns the blocked segments. */
  public Collection<BlockedSegment> blocks() {
    return List.copyOf(blocks.values());
  }

  /** Returns the evidence to send to peers. */
  public CrashEvidence evidence(long now) {
    unblocked.removeIf(segment -> respondedAt(segment) < now - RETENTION_MICROS);
    if (crashes.isEmpty() && blocks.isEmpty() && unblocked.isEmpty()) {
      return CrashEvidence.NONE;
    }
    Set<String> segments = new HashSet<>(unblocked);
    crashes.values().forEach(c -> c.suspects().forEach(s -> segments.add(s.id())));
    List<Response> responses =
        segments.stream()
            .filter(lastResponseAt::containsKey)
            .map(s -> new Response(s, respondedAt(s)))
            .sorted(Comparator.comparingLong(Response::at).reversed())
            .limit(MAX_SENT_RESPONSES)
            .toList();
    List<Crash> recent =
        crashes.values().stream().filter(c -> now - c.at() <= RELAY_MICROS).toList();
    return new CrashEvidence(recent, List.copyOf(blocks.values()), responses);
  }
}
