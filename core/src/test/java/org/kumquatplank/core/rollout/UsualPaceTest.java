package org.kumquatplank.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.rollout.UsualPace.Work;

class UsualPaceTest {
  private static final Work TITLE = new Work("title", Optional.of("small"));

  private final UsualPace pace = UsualPace.create();

  private void recordUsual(int count) {
    for (int i = 0; i < count; i++) {
      pace.record(TITLE, 1_000, 50);
    }
  }

  @Example
  void testNothingIsSlowBeforeThreeResponses() {
    recordUsual(2);
    assertThat(pace.isSlow(TITLE, 60_000, 1)).isFalse();
    assertThat(pace.isOverdue(TITLE, 60_000, 1)).isFalse();
  }

  @Example
  void testComparesTimePerUnitOfCompleteResponses() {
    recordUsual(3);
    assertThat(pace.isSlow(TITLE, 3_000, 50)).isTrue();
    assertThat(pace.isSlow(TITLE, 3_000, 150)).isFalse();
  }

  @Example
  void testIncompleteResponseIsOverdueOnlyAfterTheUsualTime() {
    recordUsual(3);
    assertThat(pace.isOverdue(TITLE, 1_900, 0)).isFalse();
    assertThat(pace.isOverdue(TITLE, 2_100, 0)).isTrue();
    assertThat(pace.isOverdue(TITLE, 2_100, 20)).isTrue();
  }

  @Example
  void testLongResponseAtUsualPaceIsNotOverdue() {
    recordUsual(3);
    assertThat(pace.isOverdue(TITLE, 5_000, 250)).isFalse();
  }

  @Example
  void testFollowsTheLoad() {
    recordUsual(100);
    for (int i = 0; i < 100; i++) {
      pace.record(TITLE, 4_000, 50);
    }
    assertThat(pace.isSlow(TITLE, 5_000, 50)).isFalse();
  }

  @Example
  void testModelsOfRouteAreApart() {
    recordUsual(3);
    assertThat(pace.isSlow(new Work("title", Optional.of("large")), 9_000, 1)).isFalse();
  }
}
