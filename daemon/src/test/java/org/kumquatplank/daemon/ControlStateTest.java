package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;

class ControlStateTest {
  // The page reaches the end of the log, so the instance counted as up to date without the change
  // that it had missed.
  @Example
  void testIsIncompleteAfterAnEmptyPageBeyondItsOffset() {
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyRecord(0, InstanceFixture.change(0));
      instance.applyPage(new LogPage(2, 2, 2, List.of()));
      assertThat(instance.state.snapshot().configComplete()).isFalse();
    }
  }

  @Example
  void testIsCompleteAfterAnEmptyPageAtItsOffset() {
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyRecord(0, InstanceFixture.change(0));
      instance.applyPage(new LogPage(1, 1, 1, List.of()));
      assertThat(instance.state.snapshot().configComplete()).isTrue();
    }
  }

  @Example
  void testHeldChangeTakesEffectOnceTheMissingRecordsAreKnown() {
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyPage(
          new LogPage(3, 4, 4, List.of(new LogRecord(3, InstanceFixture.change(1)))));
      assertThat(instance.state.snapshot().configuration().version()).isEqualTo(0);
      ConfigEntry.Snapshot missed =
          new ConfigEntry.Snapshot(instance.state.snapshot().configuration().withVersion(1), 3);
      instance.applyRecord(4, ConfigCodec.toJson(missed));
      assertThat(instance.state.snapshot().configuration().version()).isEqualTo(2);
    }
  }

  // A record that is none of this program left a gap that only a snapshot closed, and no instance
  // was complete enough to append one.
  @Example
  void testRecordThatIsNoEntryLeavesNoGap() {
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyPage(
          new LogPage(
              0,
              2,
              2,
              List.of(new LogRecord(0, "no entry"), new LogRecord(1, InstanceFixture.change(0)))));
      assertThat(instance.state.snapshot().configComplete()).isTrue();
      assertThat(instance.state.snapshot().configuration().version()).isEqualTo(1);
      assertThat(instance.state.snapshot().configNextOffset()).isEqualTo(2);
    }
  }

  // Such a record ended the thread that follows the configuration.
  @Example
  void testEntryWithMissingFieldsIsNoEntry() {
    String changeOf = "{\"base\":0,\"nonce\":\"n\",\"author\":\"x\",\"ops\":[%s]}";
    assertThat(ConfigCodec.fromJson(changeOf.formatted("{\"account\":{\"name\":\"hq\"}}")))
        .isEmpty();
    assertThat(ConfigCodec.fromJson(changeOf.formatted("{\"remove\":{\"kind\":\"NONE\"}}")))
        .isEmpty();
  }
}
