package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

class RestoreGuardTest {
  private static final long SECOND = 1_000_000;
  private static final LogPosition RESTORED = LogPosition.of(2, 1);

  /** A record; an empty value deletes the key. */
  private record Item(long offset, String key, String value) {}

  private static final class ItemType implements RestoreGuard.RecordType<Item> {
    @Override
    public String key(Item item) {
      return item.key();
    }

    @Override
    public boolean isDeletion(Item item) {
      return item.value().isEmpty();
    }

    @Override
    public boolean hasSameValue(Item first, Item second) {
      return first.value().equals(second.value());
    }

    @Override
    public boolean isVersioned(Item item) {
      return item.key().equals("versioned");
    }

    @Override
    public Item deletion(String key, LogPosition position) {
      return new Item(position.offset(), key, "");
    }
  }

  private final RestoreGuard<Item> guard = RestoreGuard.create(new ItemType());

  private List<Item> restore(List<Item> before, List<Item> listed) {
    guard.onListed(before, 0);
    guard.onRestored(RESTORED, SECOND);
    return guard.onListed(listed, SECOND);
  }

  @Example
  void testRecordThatIsWrittenAgainIsPassedOnWithItsNewPosition() {
    assertThat(restore(List.of(new Item(9, "k", "a")), List.of())).isEmpty();
    List<Item> again = List.of(new Item(1, "k", "a"));
    assertThat(guard.onChanges(again, SECOND)).isEqualTo(again);
    assertThat(guard.takeDue(60 * SECOND)).isEmpty();
  }

  @Example
  void testMissingRecordIsTakenAsDeletedOnlyAfterFiveSeconds() {
    restore(List.of(new Item(9, "k", "a")), List.of());
    assertThat(guard.takeDue(6 * SECOND - 1)).isEmpty();
    assertThat(guard.current()).containsExactly(new Item(9, "k", "a"));
    assertThat(guard.takeDue(6 * SECOND)).containsExactly(new Item(1, "k", ""));
    assertThat(guard.current()).isEmpty();
  }

  @Example
  void testRecordThatWasDeletedAndIsThereAgainIsHeldUntilItIsDeletedAgain() {
    assertThat(restore(List.of(), List.of(new Item(0, "k", "a")))).isEmpty();
    guard.onChanges(List.of(new Item(1, "k", "")), 2 * SECOND);
    assertThat(guard.takeDue(60 * SECOND)).isEmpty();
    assertThat(guard.current()).isEmpty();
  }

  @Example
  void testOlderValueIsHeldUntilTheNewerIsWrittenAgain() {
    assertThat(restore(List.of(new Item(9, "k", "b")), List.of(new Item(0, "k", "a")))).isEmpty();
    Item again = new Item(1, "k", "b");
    assertThat(guard.onChanges(List.of(again), 2 * SECOND)).containsExactly(again);
    assertThat(guard.takeDue(60 * SECOND)).isEmpty();
  }

  /** Guards against an order that is never followed, since it came right after a restore. */
  @Example
  void testRecordWithAnotherValueIsAppliedOnceItHasBeenHeld() {
    Item order = new Item(0, "k", "c");
    assertThat(restore(List.of(new Item(9, "k", "b")), List.of(order))).isEmpty();
    assertThat(guard.takeDue(SECOND + 1_499_999)).isEmpty();
    assertThat(guard.takeDue(SECOND + 1_500_000)).containsExactly(order);
    assertThat(guard.current()).containsExactly(order);
  }

  @Example
  void testVersionedRecordIsNotHeld() {
    Item listed = new Item(0, "versioned", "1");
    assertThat(restore(List.of(new Item(9, "versioned", "2")), List.of(listed)))
        .containsExactly(listed);
  }

  @Example
  void testSecondListingOfAnEraDoesNotEndMissingRecordsEarly() {
    restore(List.of(new Item(9, "k", "a")), List.of());
    guard.onListed(List.of(), 2 * SECOND);
    assertThat(guard.current()).containsExactly(new Item(9, "k", "a"));
  }

  @Example
  void testListingWithoutARestoreReplacesAllRecords() {
    guard.onListed(List.of(new Item(0, "k", "a")), 0);
    guard.onListed(List.of(new Item(1, "l", "a")), SECOND);
    assertThat(guard.current()).containsExactly(new Item(1, "l", "a"));
  }
}
