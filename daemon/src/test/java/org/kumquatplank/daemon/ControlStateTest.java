package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.kumquatplank.core.log.LogPage;

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
}
