package org.kumquatplank.core.dispatch;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What an instance knows of crashes of backend servers and of the prompt segments that may cause
 * them.
 *
 * <p>Immutable and thread-safe. All times are on the clock of this instance, microseconds.
 *
 * @param crashes crashes of processes of backend servers
 * @param blocks segments that are blocked
 * @param responses last responses to requests with segments that occur in crashes
 */
public record CrashEvidence(
    List<Crash> crashes, List<BlockedSegment> blocks, List<Response> responses) {
  /** No evidence. */
  public static final CrashEvidence NONE = new CrashEvidence(List.of(), List.of(), List.of());

  /** Copies the lists. */
  public CrashEvidence {
    crashes = List.copyOf(crashes);
    blocks = List.copyOf(blocks);
    responses = List.copyOf(responses);
  }

  /** Returns whether there is no evidence. */
  public boolean isEmpty() {
    return crashes.isEmpty() && blocks.isEmpty() && responses.isEmpty();
  }

  /**
   * A crash of one process of a backend server.
   *
   * @param backend id and start time of the process
   * @param at time of the crash
   * @param suspects segments of the requests that were lost before their response began
   */
  public record Crash(String backend, long at, List<SuspectSegment> suspects) {
    /** Copies the suspects. */
    public Crash {
      suspects = List.copyOf(suspects);
    }
  }

  /**
   * A segment of requests that were lost in a crash.
   *
   * @param id id of the segment
   * @param depth number of segments before it in the prompt
   * @param requests hashes of the ids of at most two of the requests
   */
  public record SuspectSegment(String id, int depth, Set<Integer> requests) {
    private static final int MAX_REQUESTS = 2;

    /** Keeps the smallest hashes, so that merging in any order gives the same ones. */
    public SuspectSegment {
      TreeSet<Integer> sorted = new TreeSet<>(requests);
      while (sorted.size() > MAX_REQUESTS) {
        sorted.pollLast();
      }
      requests = Set.copyOf(sorted);
    }

    /** Returns the union of what is known of the same segment. */
    SuspectSegment merge(SuspectSegment other) {
      Set<Integer> union = new TreeSet<>(requests);
      union.addAll(other.requests);
      return new SuspectSegment(id, Math.max(depth, other.depth), union);
    }
  }

  /**
   * A segment whose requests are rejected because backend servers crashed under it.
   *
   * @param id id of the segment
   * @param crashedAt time of the last crash under it
   * @param trials number of trials since it was blocked
   * @param nextTrialAt time from which one request with it may be sent
   */
  public record BlockedSegment(String id, long crashedAt, int trials, long nextTrialAt) {
    /** Returns the later state of the same segment. */
    BlockedSegment merge(BlockedSegment other) {
      return new BlockedSegment(
          id,
          Math.max(crashedAt, other.crashedAt),
          Math.max(trials, other.trials),
          Math.max(nextTrialAt, other.nextTrialAt));
    }
  }

  /**
   * The last response to a request with a segment, after which the backend server went on.
   *
   * @param segment id of the segment
   * @param at time of the response
   */
  public record Response(String segment, long at) {}
}
