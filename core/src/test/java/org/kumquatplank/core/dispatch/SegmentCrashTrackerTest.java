package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.catalog.Route;
import org.kumquatplank.core.dispatch.CrashEvidence.BlockedSegment;

class SegmentCrashTrackerTest {
  private static final long SECOND = 1_000_000;
  private static final Route ROUTE = Samples.stream(3);

  private final SegmentCrashTracker tracker = SegmentCrashTracker.create();
  private int crashes;

  private static DispatchRequest request(String id, String... shared) {
    List<PromptSegment> segments = new ArrayList<>();
    for (String segment : shared) {
      segments.add(new PromptSegment(segment, 100));
    }
    segments.add(new PromptSegment("own-" + id, 50));
    return new DispatchRequest(
        id,
        ROUTE,
        "pool",
        "t",
        1,
        new RegionRule.Anywhere(),
        Optional.empty(),
        segments,
        150,
        50,
        0,
        60 * SECOND);
  }

  private void crash(long at, DispatchRequest... lost) {
    tracker.recordCrash("i-" + crashes++ + "/1", List.of(lost), at);
  }

  private Optional<String> blocked(DispatchRequest request, long now) {
    tracker.updateBlocks(now);
    return tracker.blockOf(request).map(BlockedSegment::id);
  }

  private void crashThreeTimes() {
    crash(SECOND, request("r1", "a", "bad"), request("s1", "a", "good"));
    crash(2 * SECOND, request("r2", "a", "bad"));
    crash(3 * SECOND, request("r3", "a", "bad"), request("s2", "a", "good"));
    tracker.recordResponse(request("s3", "a"), 3 * SECOND + 1);
  }

  @Example
  void testSegmentThatAllCrashesShareIsBlockedAndTheOthersAreNot() {
    crashThreeTimes();
    assertThat(blocked(request("r4", "a", "bad"), 3 * SECOND)).isEmpty();
    assertThat(blocked(request("r4", "a", "bad"), 4 * SECOND)).hasValue("bad");
    assertThat(blocked(request("s4", "a", "good"), 4 * SECOND)).isEmpty();
  }

  /** Merges blocks of segments that nobody asks for any more, as many as are kept. */
  private void blockUnusedSegments() {
    List<BlockedSegment> blocks = new ArrayList<>();
    for (int i = 0; i < 64; i++) {
      blocks.add(new BlockedSegment("unused-" + i, i, 0, 60 * SECOND));
    }
    tracker.merge(new CrashEvidence(List.of(), blocks, List.of()), SECOND);
  }

  // A further segment that crashed servers was not blocked while 64 others were.
  @Example
  void testBlockWithTheEarliestCrashMakesRoomForANewOne() {
    blockUnusedSegments();
    crashThreeTimes();
    assertThat(blocked(request("r4", "a", "bad"), 4 * SECOND)).hasValue("bad");
    assertThat(tracker.blocks()).hasSize(64);
    assertThat(blocked(request("u", "unused-0"), 4 * SECOND)).isEmpty();
    assertThat(blocked(request("u", "unused-1"), 4 * SECOND)).hasValue("unused-1");
  }

  // A peer that still has the old block must not push out the new one.
  @Example
  void testOlderBlockOfAPeerDoesNotReplaceALaterOne() {
    blockUnusedSegments();
    crashThreeTimes();
    assertThat(blocked(request("r4", "a", "bad"), 4 * SECOND)).hasValue("bad");
    blockUnusedSegments();
    assertThat(blocked(request("r5", "a", "bad"), 4 * SECOND)).hasValue("bad");
    assertThat(blocked(request("u", "unused-0"), 4 * SECOND)).isEmpty();
  }

  @Example
  void testLastSegmentOfAPromptIsNeverASuspect() {
    for (int i = 0; i < 6; i++) {
      crash(i * SECOND, request("same", "a"));
    }
    assertThat(tracker.evidence(6 * SECOND).crashes().get(0).suspects())
        .extracting(CrashEvidence.SuspectSegment::id)
        .containsExactly("a");
  }

  @Example
  void testRepeatsOfOneRequestBlockNothing() {
    for (int i = 0; i < 6; i++) {
      crash(i * SECOND, request("same", "a", "bad"));
    }
    assertThat(blocked(request("r", "a", "bad"), 8 * SECOND)).isEmpty();
  }

  @Example
  void testServersThatEndTogetherCountOnce() {
    for (int i = 0; i < 6; i++) {
      crash(SECOND + i * 1_000L, request("r" + i, "a", "rack"));
    }
    assertThat(blocked(request("r", "a", "rack"), 8 * SECOND)).isEmpty();
  }

  @Example
  void testResponseAtAPeerUnblocksTheSegment() {
    crashThreeTimes();
    assertThat(blocked(request("r4", "a", "bad"), 4 * SECOND)).isPresent();
    tracker.merge(
        new CrashEvidence(
            List.of(), List.of(), List.of(new CrashEvidence.Response("bad", 5 * SECOND))),
        6 * SECOND);
    assertThat(blocked(request("r4", "a", "bad"), 6 * SECOND)).isEmpty();
  }

  @Example
  void testBlockedSegmentIsTriedLessAndLessOften() {
    crashThreeTimes();
    DispatchRequest trial = request("r5", "a", "bad");
    assertThat(blocked(trial, 4 * SECOND)).isPresent();
    assertTrialAt(34 * SECOND, trial);
    assertTrialAt(64 * SECOND, trial);
    assertTrialAt(124 * SECOND, trial);
    assertTrialAt(244 * SECOND, trial);
  }

  private void assertTrialAt(long due, DispatchRequest trial) {
    BlockedSegment block = tracker.blockOf(trial).orElseThrow();
    assertThat(tracker.isTrialDue(block, trial, due - 1)).isFalse();
    assertThat(tracker.isTrialDue(block, trial, due)).isTrue();
    tracker.recordTrial(block, due);
  }
}
