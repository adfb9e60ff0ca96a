package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

class TopicCursorTest {
  private record Change(LogPosition position, String key, String value) {
    Change(long offset, String key, String value) {
      this(LogPosition.of(0, offset), key, value);
    }
  }

  private final TopicCursor<Change> cursor = TopicCursor.create(Change::position, Change::key);
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
    return TopicUpdate.of(0, from, next, Arrays.asList(changes));
  }

  private void list(long end, Change... records) {
    cursor.beginListing();
    apply(cursor.onListed(update(end, end, records)).orElseThrow());
  }

  @Example
  void testGapStaysWhenAnUpdateDoesNotFillIt() {
    list(5);
    assertThat(cursor.onUpdate(update(10, 12, new Change(11, "k", "b")), this::apply)).isFalse();
    cursor.onUpdate(update(0, 5), this::apply);
    assertThat(cursor.next()).isEqualTo(LogPosition.of(0, 5));
    assertThat(cursor.hasGap()).isTrue();
  }

  /** Renewals that a peer left out do nothing at any instance; whole they exceed a datagram. */
  @Example
  void testUpdateLeavesOutRenewalsThatAPeerLeftOut() {
    list(5, new Change(4, "k", "a"));
    assertThat(cursor.beginRead()).isEqualTo(LogPosition.of(0, 5));
    cursor.onUpdate(update(5, 7), this::apply);
    Change first = new Change(5, "k", "a");
    Change second = new Change(6, "k", "a");
    assertThat(cursor.onRead(update(5, 7, first, second), this::apply)).contains(update(5, 7));
  }

  @Example
  void testChangeThatIsOlderThanTheListedRecordIsNotApplied() {
    list(5, new Change(8, "k", "draining"));
    cursor.onUpdate(update(5, 7, new Change(6, "k", "ready")), this::apply);
    assertThat(values).containsEntry("k", "draining");
  }

  private static Change change(long era, long offset, String value) {
    return new Change(LogPosition.of(era, offset), "k", value);
  }

  /** Guards against a change that is missed for good, as offsets begin anew in a later era. */
  @Example
  void testUpdateOfALaterEraIsAppliedAndRequiresAListing() {
    list(5, new Change(4, "k", "a"));
    TopicUpdate<Change> update = TopicUpdate.of(1, 2, 3, List.of(change(1, 2, "b")));
    assertThat(cursor.onUpdate(update, this::apply)).isFalse();
    assertThat(values).containsEntry("k", "b");
    assertThat(cursor.next()).isEqualTo(LogPosition.unknownIn(1));
    assertThat(cursor.needsListing()).isTrue();
    cursor.beginListing();
    TopicUpdate<Change> listed = TopicUpdate.of(1, 3, 3, List.of(change(1, 2, "b")));
    assertThat(cursor.onListed(listed)).contains(List.of(change(1, 2, "b")));
    assertThat(cursor.next()).isEqualTo(LogPosition.of(1, 3));
    assertThat(cursor.needsListing()).isFalse();
  }

  @Example
  void testWhatComesFromAnEarlierEraChangesNothing() {
    list(5, new Change(4, "k", "a"));
    cursor.beginRead();
    cursor.onUpdate(TopicUpdate.of(1, 0, 1, List.of()), this::apply);
    assertThat(cursor.onRead(update(5, 6, new Change(5, "k", "read")), this::apply)).isEmpty();
    assertThat(cursor.onUpdate(update(5, 6, new Change(5, "k", "sent")), this::apply)).isFalse();
    cursor.beginListing();
    assertThat(cursor.onListed(update(6, 6, new Change(5, "k", "listed")))).isEmpty();
    assertThat(cursor.needsListing()).isTrue();
    assertThat(values).containsEntry("k", "a");
  }
}
