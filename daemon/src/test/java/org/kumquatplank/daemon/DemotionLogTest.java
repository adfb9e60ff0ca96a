package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.membership.ListedInstance.Role;
import org.kumquatplank.core.quality.Assessment.Verdict;
import org.kumquatplank.core.quality.QualityTracker.Pair;

class DemotionLogTest {
  private static final WorkClass TITLE =
      new WorkClass("title", 0.7, 1_000, 2_000, 1_000, WorkClass.WhenUnmet.BEST);
  private static final Pair PAIR = new Pair("title", "cheap");
  private static final String FIRST =
      InstanceFixture.change(
          0,
          new ConfigOp.Put(TITLE),
          new ConfigOp.Put(new ModelVersion("cheap", 1, 1, ModelVersion.Stage.TRIAL)));
  private static final String SECOND =
      InstanceFixture.change(
          1, new ConfigOp.Put(new ModelVersion("cheap", 1, 1, ModelVersion.Stage.LIVE)));

  private final MemoryLog log = new MemoryLog();

  private DemotionLog demotionLogOf(InstanceFixture instance) {
    return new DemotionLog(log, instance.controlThread, instance.state);
  }

  private void recordDemotionUnder(String... changes) {
    try (InstanceFixture instance = new InstanceFixture()) {
      for (int i = 0; i < changes.length; i++) {
        instance.applyRecord(i, changes[i]);
      }
      demotionLogOf(instance).record(PAIR);
    }
  }

  private static Verdict verdictOf(InstanceFixture instance) {
    return instance.controlThread.call(
        () -> instance.state.quality().assess(TITLE, "cheap").verdict());
  }

  @Example
  void testAppliesADemotionOfTheCurrentDefinition() {
    recordDemotionUnder(FIRST);
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyRecord(0, FIRST);
      demotionLogOf(instance).applyNew();
      assertThat(verdictOf(instance)).isEqualTo(Verdict.DEMOTED);
    }
  }

  @Example
  void testIgnoresADemotionOfAnEarlierDefinition() {
    recordDemotionUnder(FIRST);
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyRecord(0, FIRST);
      instance.applyRecord(1, SECOND);
      demotionLogOf(instance).applyNew();
      assertThat(verdictOf(instance)).isEqualTo(Verdict.UNKNOWN);
    }
  }

  // The record was passed over for good, and the version kept serving at this instance.
  @Example
  void testAppliesADemotionReadBeforeItsConfiguration() {
    recordDemotionUnder(FIRST, SECOND);
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyRecord(0, FIRST);
      DemotionLog demotions = demotionLogOf(instance);
      demotions.applyNew();
      assertThat(verdictOf(instance)).isEqualTo(Verdict.UNKNOWN);
      instance.applyRecord(1, SECOND);
      demotions.applyNew();
      assertThat(verdictOf(instance)).isEqualTo(Verdict.DEMOTED);
    }
  }

  @Example
  void testAppliesADemotionReadBeforeAnyConfiguration() {
    recordDemotionUnder(FIRST);
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.setInstances(InstanceFixture.listed("a", Role.ENTRY, 1, Set.of()));
      DemotionLog demotions = demotionLogOf(instance);
      demotions.applyNew();
      instance.applyRecord(0, FIRST);
      demotions.applyNew();
      assertThat(verdictOf(instance)).isEqualTo(Verdict.DEMOTED);
    }
  }

  @Example
  void testAppliesADemotionThatDoesNotNameItsConfiguration() {
    recordDemotionUnder(FIRST);
    String current = log.texts("demotions").get(0);
    log.append("demotions", current.replaceAll(",\"configVersion\":[0-9]+", ""), Instant.MAX);
    log.append("demotions", "no demotion", Instant.MAX);
    try (InstanceFixture instance = new InstanceFixture()) {
      instance.applyRecord(0, FIRST);
      demotionLogOf(instance).applyNew();
      assertThat(verdictOf(instance)).isEqualTo(Verdict.DEMOTED);
    }
  }
}
