package org.kumquatplank.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.Samples;
import org.kumquatplank.core.dispatch.VersionRule;

class WaitingRequestsTest {
  private static final long SECOND = 1_000_000;

  private final WaitingRequests<String> queue = WaitingRequests.create();
  private final List<String> started = new ArrayList<>();

  private void add(String id, String account, int priority, long arrived) {
    addTo(new RegionRule.Anywhere(), id, account, priority, 0, arrived);
  }

  private void addSized(String id, String account, int promptTokens) {
    addTo(new RegionRule.Anywhere(), id, account, 1, promptTokens, 0);
  }

  private void addTo(
      RegionRule regions, String id, String account, int priority, int tokens, long arrived) {
    queue.add(request(regions, id, account, priority, tokens, arrived), id, false, arrived + 100);
  }

  private static DispatchRequest request(
      RegionRule regions, String id, String account, int priority, int tokens, long arrived) {
    return new DispatchRequest(
        id,
        Samples.safe(),
        "desk",
        account,
        priority,
        regions,
        Optional.empty(),
        List.of(),
        tokens,
        0,
        arrived,
        arrived + 3 * SECOND);
  }

  private void start(int places, long now) {
    int before = started.size();
    queue.startWaiting(now, id -> started.size() - before < places && started.add(id));
  }

  /** A burst of one kind: the more urgent requests do not wait behind it. */
  @Example
  void testStartsByPriorityThenByAge() {
    add("first", "t", 2, 1);
    add("second", "t", 2, 2);
    add("late-urgent", "t", 0, 9);
    start(9, 10);
    assertThat(started).containsExactly("late-urgent", "first", "second");
    assertThat(queue.size()).isZero();
  }

  /** A hot account: the others get as many places as it does, though they came later. */
  @Example
  void testAccountsTakeTurnsThoughOneSentABurst() {
    for (int i = 0; i < 100; i++) {
      add("hot-" + i, "a", 1, i);
    }
    for (int i = 0; i < 5; i++) {
      add("calm-" + i, "b", 1, 200);
    }
    start(10, 300);
    assertThat(started).filteredOn(id -> id.startsWith("calm")).hasSize(5);
    assertThat(started).filteredOn(id -> id.startsWith("hot")).hasSize(5);
  }

  /** Shares count work: one large prompt weighs as much as many small ones of another account. */
  @Example
  void testAccountsShareByWork() {
    for (int i = 0; i < 20; i++) {
      addSized("large-" + i, "bulk", 10_000);
      addSized("small-" + i, "chat", 1_000);
    }
    start(11, 300);
    assertThat(started).filteredOn(id -> id.startsWith("large")).hasSize(1);
    assertThat(started).filteredOn(id -> id.startsWith("small")).hasSize(10);
    start(11, 300);
    assertThat(started).filteredOn(id -> id.startsWith("large")).hasSize(2);
  }

  /** An account that returns after a pause has no credit for the time without requests. */
  @Example
  void testPauseEarnsNoCredit() {
    for (int i = 0; i < 100; i++) {
      add("steady-" + i, "steady", 1, i);
    }
    start(50, 300);
    for (int i = 0; i < 50; i++) {
      add("back-" + i, "back", 1, 300);
    }
    start(20, 301);
    assertThat(started.subList(50, 70)).filteredOn(id -> id.startsWith("back")).hasSize(11);
  }

  /** After a long stop: requests that still meet their target come before those that are late. */
  @Example
  void testRequestsThatAreLateGetEachFourthStart() {
    for (int i = 0; i < 20; i++) {
      add("late-" + i, "t", 1, i);
    }
    for (int i = 0; i < 20; i++) {
      add("new-" + i, "t", 1, SECOND + i);
    }
    start(8, SECOND + 100);
    assertThat(started)
        .containsExactly("new-0", "new-1", "new-2", "late-0", "new-3", "new-4", "new-5", "late-1");
  }

  /**
   * Unequal demand: requests bound to a full region do not hold up those that may run elsewhere.
   */
  @Example
  void testFullRegionHoldsUpNoOthers() {
    RegionRule north = RegionRule.of(List.of("north"));
    for (int i = 0; i < 20; i++) {
      addTo(north, "north-" + i, "t" + i, 1, 0, i);
    }
    add("anywhere", "z", 1, 50);
    assertThat(queue.hasAhead(request(north, "n", "t", 1, 0, 60), false)).isTrue();
    queue.startWaiting(70, id -> !id.startsWith("north") && started.add(id));
    assertThat(started).containsExactly("anywhere");
    assertThat(queue.hasAhead(request(new RegionRule.Anywhere(), "a", "t", 1, 0, 60), false))
        .isFalse();
  }

  @Example
  void testStopsAfterFailedStarts() {
    for (int i = 0; i < 20; i++) {
      add("x" + i, "t" + i, 1, i);
    }
    List<String> attempted = new ArrayList<>();
    queue.startWaiting(
        30,
        id -> {
          attempted.add(id);
          return false;
        });
    assertThat(attempted).containsExactly("x0", "x1", "x10");
    assertThat(queue.size()).isEqualTo(20);
    start(20, 30);
    assertThat(started).hasSize(20);
  }

  @Example
  void testHopelessRequestsLeaveAndOthersAreExtended() {
    add("old", "t", 1, 0);
    add("new", "t", 1, 50);
    assertThat(queue.removeHopeless(120, r -> 0)).containsExactly("old");
    assertThat(queue.removeHopeless(160, r -> 500)).isEmpty();
    assertThat(queue.removeHopeless(500, r -> 500)).containsExactly("new");
    assertThat(queue.size()).isZero();
    start(2, 600);
    assertThat(started).isEmpty();
  }

  /** The item is queued again by its own start, as after a connect that fails at once. */
  @Example
  void testItemThatIsQueuedAgainWhileItStartsStaysQueued() {
    add("again", "t", 1, 0);
    queue.startWaiting(
        1,
        id -> {
          add(id, "t", 1, 0);
          return true;
        });
    assertThat(queue.size()).isEqualTo(1);
    queue.remove("again");
    assertThat(queue.size()).isZero();
  }

  /** A full version on trial has no room for a part of the requests only. */
  @Example
  void testFullVersionOnTrialHoldsUpNoOthers() {
    VersionRule rule = new VersionRule.Trial("v2", 0.5, true);
    WaitingRequests<String> queue = WaitingRequests.create(() -> rule);
    List<String> started = new ArrayList<>();
    List<String> others = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      DispatchRequest request = Samples.request(Samples.stream(3), "r" + i);
      queue.add(request, request.id(), false, 1_000);
      if (!rule.isOnTrial(request)) {
        others.add(request.id());
      }
    }
    queue.startWaiting(
        0,
        id -> {
          boolean onOldVersion = others.contains(id);
          if (onOldVersion) {
            started.add(id);
          }
          return onOldVersion;
        });
    assertThat(started).containsExactlyInAnyOrderElementsOf(others);
    DispatchRequest next =
        IntStream.range(40, 80)
            .mapToObj(i -> Samples.request(Samples.stream(3), "r" + i))
            .filter(r -> !rule.isOnTrial(r))
            .findFirst()
            .orElseThrow();
    assertThat(queue.hasAhead(next, false)).isFalse();
  }

  /** A burst whose requests have long deadlines: what has started must not be kept until then. */
  @Example
  void testStartedRequestsAreNotKept() {
    for (int i = 0; i < 1_000; i++) {
      queue.add(
          request(new RegionRule.Anywhere(), "x" + i, "t", 1, 0, 0), "x" + i, false, 60 * SECOND);
    }
    start(1_000, 1);
    assertThat(queue.removeHopeless(2, r -> 0)).isEmpty();
    assertThat(queue.retainedCount()).isLessThanOrEqualTo(64);
  }
}
