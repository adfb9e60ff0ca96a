package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.platform.store.StoreRecord;

class ServerListTest {
  private static final long SECOND = 1_000_000;

  private final ServerList list = ServerList.create();

  private static StoreRecord entry(long offset, String id) {
    String text =
        "{\"service\":\"x\",\"address\":\"10.1.0.9:80\",\"zone\":\"a\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\"ready\",\"born\":1}";
    return new StoreRecord(
        LogPosition.of(0, offset), id, Optional.of(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static StoreRecord deleted(long offset, String id) {
    return new StoreRecord(LogPosition.of(0, offset), id, Optional.empty());
  }

  private int sizeAt(long now) {
    list.takeChange(now);
    return list.size();
  }

  @Example
  void testDeletedEntryIsRemovedImmediately() {
    list.onSnapshot(List.of(entry(0, "a"), entry(1, "b")), 0);
    list.onChanges(List.of(deleted(2, "a")), SECOND);
    assertThat(sizeAt(SECOND)).isEqualTo(1);
  }

  /** Entries that expired during an outage of the store may be renewed within two seconds. */
  @Example
  void testEntryThatExpiredInAnOutageIsKeptForTwoSeconds() {
    list.onSnapshot(List.of(entry(0, "a"), entry(1, "b")), 0);
    list.onRecovered(5 * SECOND, 10 * SECOND);
    list.onChanges(List.of(deleted(2, "a"), deleted(3, "b")), 10 * SECOND);
    assertThat(sizeAt(11 * SECOND)).isEqualTo(2);
    list.onChanges(List.of(entry(4, "a")), 11 * SECOND);
    assertThat(sizeAt(13 * SECOND)).isEqualTo(1);
  }

  @Example
  void testSnapshotRemovesMissingEntries() {
    list.onSnapshot(List.of(entry(0, "a"), entry(1, "b")), 0);
    list.onSnapshot(List.of(entry(2, "b")), SECOND);
    assertThat(sizeAt(SECOND)).isEqualTo(1);
  }

  // A reader passes on what it applied; an entry that nobody can use must not travel.
  @Example
  void testOddEntryAmongOthersIsSkippedAndNotPassedOn() {
    String nested = "{\"a\":".repeat(50_000) + "1" + "}".repeat(50_000);
    String[] odd = {
      nested,
      new String(entry(0, "x").value().orElseThrow(), StandardCharsets.UTF_8)
          .replace(":80\"", ":1e400\""),
      new String(entry(0, "x").value().orElseThrow(), StandardCharsets.UTF_8)
          .replace(":6,", ":1e400,")
    };
    long offset = 1;
    for (String text : odd) {
      StoreRecord record =
          new StoreRecord(
              LogPosition.of(0, offset++),
              "odd",
              Optional.of(text.getBytes(StandardCharsets.UTF_8)));
      StoreRecord sound = entry(offset++, "s" + offset);
      assertThat(list.onChanges(List.of(record, sound), SECOND)).containsExactly(sound);
    }
    assertThat(sizeAt(SECOND)).isEqualTo(3);
  }

  @Example
  void testUnreadableEntryIsIgnored() {
    list.onSnapshot(List.of(entry(0, "a")), 0);
    list.onChanges(
        List.of(new StoreRecord(LogPosition.of(0, 1), "a", Optional.of(new byte[] {1, 2}))), 1);
    assertThat(sizeAt(1)).isEqualTo(1);
  }

  /** The listing may lack an entry that was deleted while it was read; peers still have it. */
  @Example
  void testDeletionOfAnEntryThatTheListingLackedIsPassedOn() {
    list.onSnapshot(List.of(entry(0, "a")), 0);
    StoreRecord deletion = deleted(2, "b");
    assertThat(list.onChanges(List.of(entry(1, "a"), deletion), SECOND)).containsExactly(deletion);
  }

  private static StoreRecord entry(String id, long born, String state) {
    String text =
        "{\"service\":\"x\",\"address\":\"10.1.0.9:80\",\"zone\":\"a\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\""
            + state
            + "\",\"born\":"
            + born
            + "}";
    return new StoreRecord(
        LogPosition.of(2, 0), id, Optional.of(text.getBytes(StandardCharsets.UTF_8)));
  }

  @Example
  void testEntryThatARestoredCopyLacksIsKeptForTwoSeconds() {
    list.onSnapshot(List.of(entry(0, "a"), entry(1, "b")), 0);
    list.onRestored(List.of(entry("b", 1, "ready")), 10 * SECOND);
    assertThat(sizeAt(12 * SECOND)).isEqualTo(2);
    assertThat(sizeAt(13 * SECOND)).isEqualTo(1);
  }

  /** Guards against requests to a server that has left, whose entry is in the copy. */
  @Example
  void testServerThatHasLeftIsNotTakenFromARestoredCopyUntilItRenewsItsEntry() {
    list.onSnapshot(List.of(entry("a", 7, "ready"), entry(1, "b")), 0);
    list.onChanges(List.of(deleted(2, "a")), SECOND);
    list.onRestored(List.of(entry("a", 7, "ready"), entry("b", 1, "ready")), 2 * SECOND);
    assertThat(sizeAt(3 * SECOND)).isEqualTo(1);
    list.onChanges(List.of(entry("a", 7, "ready")), 4 * SECOND);
    assertThat(sizeAt(4 * SECOND)).isEqualTo(2);
  }

  /** The store removes the entry of a server that is silent; one that stays names a server. */
  @Example
  void testEntryOfARestoredCopyThatStaysNamesAServerAfterTenSeconds() {
    list.onSnapshot(List.of(entry("a", 7, "ready"), entry("b", 7, "ready")), 0);
    list.onChanges(List.of(deleted(2, "a"), deleted(3, "b")), SECOND);
    list.onRestored(List.of(entry("a", 7, "ready"), entry("b", 7, "ready")), 2 * SECOND);
    list.onChanges(List.of(deleted(4, "b")), 5 * SECOND);
    assertThat(sizeAt(11 * SECOND)).isZero();
    assertThat(sizeAt(12 * SECOND)).isEqualTo(1);
  }

  @Example
  void testEarlierProcessAndEndedDrainAreNotTakenFromARestoredCopy() {
    list.onSnapshot(List.of(entry("a", 7, "draining"), entry("b", 7, "ready")), 0);
    list.onRestored(List.of(entry("a", 7, "ready"), entry("b", 3, "ready")), SECOND);
    assertThat(list.takeChange(SECOND).orElseThrow())
        .extracting(s -> s.id() + s.startedMillis() + s.draining())
        .containsExactlyInAnyOrder("a7true", "b7false");
  }
}
