package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.CrashEvidence;
import org.kumquatplank.core.dispatch.CrashEvidence.BlockedSegment;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.PromptSegment;
import org.kumquatplank.core.dispatch.SegmentCrashTracker;

/**
 * Tells a crash of a backend server from a connection that was only cut, and reports the requests
 * that were lost in it.
 *
 * <p>A lost connection alone shows no crash. The backend server is probed: if it refuses
 * connections, the process has ended. Confined to the traffic thread.
 */
final class CrashDetector {
  private final BackendPool pool;
  private final SegmentCrashTracker tracker;
  private final EdgeMetrics metrics;
  private final Predicate<BackendState> isEvacuated;
  private final Map<BackendState, Loss> losses = new HashMap<>();
  private Set<String> reportedBlocks = Set.of();
  private boolean sendsTrials;

  CrashDetector(
      BackendPool pool,
      SegmentCrashTracker tracker,
      EdgeMetrics metrics,
      Predicate<BackendState> isEvacuated) {
    this.pool = pool;
    this.tracker = tracker;
    this.metrics = metrics;
    this.isEvacuated = isEvacuated;
  }

  /**
   * Requests that were lost with connections to one process, until it is known whether it ended.
   */
  private static final class Loss {
    private final List<DispatchRequest> requests = new ArrayList<>();
    private final List<DispatchRequest> ended = new ArrayList<>();
    private boolean crashed;
  }

  /** Sets whether this instance is the one that sends trials of blocked segments. */
  void setSendsTrials(boolean sends) {
    sendsTrials = sends;
  }

  boolean maySendTrial(BlockedSegment block, DispatchRequest request, long now) {
    return sendsTrials && tracker.isTrialDue(block, request, now);
  }

  /** Merges what a peer knows. */
  void merge(CrashEvidence evidence) {
    tracker.merge(evidence, Clock.micros());
    reportBlocks();
  }

  /** Returns what this instance knows. */
  CrashEvidence evidence() {
    return tracker.evidence(Clock.micros());
  }

  /** Blocks the segments whose time has come; called every 50 ms while requests are open. */
  void update(long now) {
    tracker.updateBlocks(now);
    reportBlocks();
  }

  void onResponding(DispatchRequest request) {
    tracker.recordResponse(request, Clock.micros());
    reportBlocks();
  }

  /**
   * Handles a connection that ended when a response had not yet begun, or only just.
   *
   * @param responseEnded whether the end of the connection ends the response
   */
  void onConnectionLost(BackendState backend, DispatchRequest request, boolean responseEnded) {
    // Nothing is sent to an evacuated failure domain, not even a probe.
    if (request.sharedSegments().isEmpty() || backend.isClosed() || isEvacuated.test(backend)) {
      return;
    }
    Loss known = losses.get(backend);
    Loss loss = known == null ? new Loss() : known;
    loss.requests.add(request);
    if (responseEnded) {
      loss.ended.add(request);
    }
    if (known == null) {
      losses.put(backend, loss);
      pool.probe(backend, result -> onProbed(backend, loss, result));
    } else if (known.crashed) {
      reportCrash(backend, List.of(request));
    }
  }

  private void onProbed(BackendState backend, Loss loss, BackendPool.ProbeResult result) {
    switch (result) {
      case REFUSED -> {
        loss.crashed = true;
        metrics.count("backend_crashes");
        EdgeLog.event("backend_crashed")
            .addKeyValue("backend", backend.server().id())
            .addKeyValue("lost", loss.requests.size())
            .addKeyValue("segments", segmentIds(loss.requests))
            .log();
        reportCrash(backend, loss.requests);
      }
      case ACCEPTED, NO_RESPONSE -> {
        losses.remove(backend);
        if (result == BackendPool.ProbeResult.ACCEPTED) {
          loss.ended.forEach(this::onResponding);
        }
        EdgeLog.event("backend_not_crashed")
            .addKeyValue("backend", backend.server().id())
            .addKeyValue("lost", loss.requests.size())
            .addKeyValue("probe", result)
            .log();
      }
    }
  }

  private static String segmentIds(List<DispatchRequest> requests) {
    return requests.stream()
        .flatMap(r -> r.sharedSegments().stream())
        .map(PromptSegment::id)
        .distinct()
        .collect(Collectors.joining(","));
  }

  private void reportCrash(BackendState backend, List<DispatchRequest> lost) {
    String process = backend.server().id() + "/" + backend.server().startedMillis();
    tracker.recordCrash(process, lost, Clock.micros());
    reportBlocks();
  }

  /** Logs the segments that were blocked or unblocked since the last call. */
  private void reportBlocks() {
    Set<String> blocked = new HashSet<>();
    for (BlockedSegment block : tracker.blocks()) {
      blocked.add(block.id());
      if (!reportedBlocks.contains(block.id())) {
        EdgeLog.event("segment_blocked")
            .addKeyValue("segment", block.id())
            .addKeyValue("crash_age_ms", (Clock.micros() - block.crashedAt()) / 1_000)
            .addKeyValue("trials", block.trials())
            .log();
      }
    }
    for (String segment : reportedBlocks) {
      if (!blocked.contains(segment)) {
        EdgeLog.event("segment_unblocked").addKeyValue("segment", segment).log();
      }
    }
    if (!blocked.equals(reportedBlocks)) {
      metrics.gauge("blocked_segments", blocked.size());
    }
    reportedBlocks = blocked;
  }

  /** Forgets losses at backend servers that are no longer listed. */
  void sweep() {
    losses.keySet().removeIf(BackendState::isClosed);
  }
}
