package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.store.StoreRecord;

class TopicUpdatesTest {
  private static final int MOST_BYTES = 4_000;

  private static StoreRecord record(long offset, String value) {
    return new StoreRecord(offset, "config", Optional.of(value.getBytes(StandardCharsets.UTF_8)));
  }

  @Example
  void testConfigurationsInQuickSuccessionReachAnInstanceThatMissedThem() {
    TopicUpdates updates = new TopicUpdates("a", "op");
    String large = "{\"name\":\"route\",\"kind\":\"safe\"}".repeat(600);
    TopicRelay message = null;
    for (int i = 0; i < 6; i++) {
      List<StoreRecord> changed = List.of(record(5 + i, large + i));
      message = updates.after(new StoreFollower.Told(5 + i, 6 + i, changed), 0, MOST_BYTES, i);
    }
    assertThat(message.getFrom()).isEqualTo(5);
    assertThat(message.getNext()).isEqualTo(11);
    assertThat(message.getRecordsCount()).isEqualTo(1);
    String value =
        new String(ValueCompression.unpack(message.getRecords(0).getValue()), StandardCharsets.UTF_8);
    assertThat(value).isEqualTo(large + 5);
  }

  @Example
  void testTellsOfAnOutageThatIsNotOver() {
    TopicUpdates updates = new TopicUpdates("a", "servers");
    StoreFollower.Told told = new StoreFollower.Told(0, 1, List.of());
    assertThat(updates.after(told, 3_000_000, MOST_BYTES, 1_000_000).getGraceMillis())
        .isEqualTo(2_000);
    assertThat(updates.after(told, Long.MIN_VALUE, MOST_BYTES, 1_000_000).getGraceMillis()).isZero();
  }
}
