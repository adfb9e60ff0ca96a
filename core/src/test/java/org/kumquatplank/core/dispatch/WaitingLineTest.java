package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class WaitingLineTest {
  private final WaitingLine<String> line = WaitingLine.create();
  private final List<String> started = new ArrayList<>();

  private void add(String id, String account, int priority, long arrived) {
    Demand demand = Samples.demand(Samples.safe(), id, account, priority, arrived);
    line.add(demand, id, arrived + 100);
  }

  /** A burst: urgent work first, then whoever has least under way, then the oldest. */
  @Example
  void testStartsUrgentWorkThenFairly() {
    line.started("busy");
    add("late-urgent", "busy", 0, 9);
    add("first", "busy", 2, 1);
    add("second", "idle", 2, 2);
    add("third", "idle", 2, 3);
    line.startAll(started::add);
    assertThat(started).containsExactly("late-urgent", "second", "third", "first");
    assertThat(line.size()).isZero();
  }

  @Example
  void testStopsWhereNothingStarts() {
    for (int i = 0; i < 20; i++) {
      add("x" + i, "t", 1, i);
    }
    List<String> tried = new ArrayList<>();
    line.startAll(
        id -> {
          tried.add(id);
          return false;
        });
    assertThat(tried).hasSize(3);
    assertThat(line.size()).isEqualTo(20);
  }

  @Example
  void testWhatIsTooLateIsTakenOut() {
    add("old", "t", 1, 0);
    add("new", "t", 1, 50);
    assertThat(line.removeLate(120)).containsExactly("old");
    assertThat(line.size()).isEqualTo(1);
  }
}
