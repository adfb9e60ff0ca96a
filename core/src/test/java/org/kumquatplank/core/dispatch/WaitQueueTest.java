package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class WaitQueueTest {
  private final WaitQueue<String> queue = WaitQueue.create();
  private final List<String> started = new ArrayList<>();

  private void add(String id, String account, int priority, long arrived) {
    DispatchRequest request = Samples.request(Samples.safe(), id, account, priority, arrived);
    queue.add(request, id, arrived + 100);
  }

  /** In a burst: by priority, then by fewest in-flight requests of the account, then by age. */
  @Example
  void testStartsByPriorityThenByFewestInFlight() {
    queue.requestStarted("busy");
    add("late-urgent", "busy", 0, 9);
    add("first", "busy", 2, 1);
    add("second", "idle", 2, 2);
    add("third", "idle", 2, 3);
    queue.startWaiting(started::add);
    assertThat(started).containsExactly("late-urgent", "second", "third", "first");
    assertThat(queue.size()).isZero();
  }

  @Example
  void testStopsAfterFailedStarts() {
    for (int i = 0; i < 20; i++) {
      add("x" + i, "t", 1, i);
    }
    List<String> attempted = new ArrayList<>();
    queue.startWaiting(
        id -> {
          attempted.add(id);
          return false;
        });
    assertThat(attempted).hasSize(3);
    assertThat(queue.size()).isEqualTo(20);
  }

  @Example
  void testRemovesExpiredRequests() {
    add("old", "t", 1, 0);
    add("new", "t", 1, 50);
    assertThat(queue.removeExpired(120)).containsExactly("old");
    assertThat(queue.size()).isEqualTo(1);
  }
}
