package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.TopicUpdate;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.store.StoreRecord;

class TopicUpdatesTest {
  private static final int MAX_BYTES = 4_000;

  private static StoreRecord record(long offset, String value) {
    return new StoreRecord(
        LogPosition.of(0, offset), "config", Optional.of(value.getBytes(StandardCharsets.UTF_8)));
  }

  @Example
  void testMessageCoversMissedUpdatesWithTheLatestValue() {
    TopicUpdates updates = new TopicUpdates("a", "op");
    String largeValue = "{\"name\":\"route\",\"kind\":\"safe\"}".repeat(600);
    TopicRelay message = null;
    for (int i = 0; i < 6; i++) {
      List<StoreRecord> changed = List.of(record(5 + i, largeValue + i));
      message = updates.messageAfterRead(TopicUpdate.of(0, 5 + i, 6 + i, changed), 0, MAX_BYTES, i);
    }
    assertThat(message.getFrom()).isEqualTo(5);
    assertThat(message.getNext()).isEqualTo(11);
    assertThat(message.getRecordsCount()).isEqualTo(1);
    String value =
        new String(
            ValueCompression.decompress(message.getRecords(0).getValue()), StandardCharsets.UTF_8);
    assertThat(value).isEqualTo(largeValue + 5);
  }

  @Example
  void testMessageStatesTheRemainingGracePeriod() {
    TopicUpdates updates = new TopicUpdates("a", "servers");
    TopicUpdate<StoreRecord> update = TopicUpdate.of(0, 0, 1, List.of());
    assertThat(updates.messageAfterRead(update, 3_000_000, MAX_BYTES, 1_000_000).getGraceMillis())
        .isEqualTo(2_000);
    assertThat(
            updates.messageAfterRead(update, Long.MIN_VALUE, MAX_BYTES, 1_000_000).getGraceMillis())
        .isZero();
  }
}
