package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

class TopicCursorTest {
  private record Change(long offset, String key, String value) {}

  private final TopicCursor<Change> cursor = TopicCursor.create(Change::offset, Change::key);
  private final Map<String, String> values = new HashMap<>();

  /** Applies changes, and returns those that do not repeat the value of their key. */
  private List<Change> apply(List<Change> changes) {
    List<Change> changed = new ArrayList<>();
    for (Change change : changes) {
      if (!change.value().equals(values.put(change.key(), change.value()))) {
        changed.add(change);
      }
    }
    return changed;
  }

  private static TopicUpdate<Change> update(long from, long next, Change... changes) {
    return new TopicUpdate<>(from, next, Arrays.asList(changes));
  }

  private void list(long end, Change... records) {
    cursor.beginListing();
    apply(cursor.onListed(update(end, end, records)));
  }

  @Example
  void testGapStaysWhenAnUpdateDoesNotFillIt() {
    list(5);
    assertThat(cursor.onUpdate(update(10, 12, new Change(11, "k", "b")), this::apply)).isFalse();
    cursor.onUpdate(update(0, 5), this::apply);
    assertThat(cursor.nextOffset()).isEqualTo(5);
    assertThat(cursor.hasGap()).isTrue();
  }

  /** Renewals that a peer left out do nothing at any instance; whole they exceed a datagram. */
  @Example
  void testUpdateLeavesOutRenewalsThatAPeerLeftOut() {
    list(5, new Change(4, "k", "a"));
    assertThat(cursor.beginRead()).isEqualTo(5);
    cursor.onUpdate(update(5, 7), this::apply);
    Change first = new Change(5, "k", "a");
    Change second = new Change(6, "k", "a");
    assertThat(cursor.onRead(update(5, 7, first, second), this::apply).changes()).isEmpty();
  }

  @Example
  void testChangeThatIsOlderThanTheListedRecordIsNotApplied() {
    list(5, new Change(8, "k", "draining"));
    cursor.onUpdate(update(5, 7, new Change(6, "k", "ready")), this::apply);
    assertThat(values).containsEntry("k", "draining");
  }
}
