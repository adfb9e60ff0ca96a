package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.dispatch.ModelChooser.LatencyEstimate;
import org.kumquatplank.core.dispatch.ModelChooser.LatencyEstimator;

class ModelChooserTest {
  private final ModelChooser chooser = ModelChooser.create(60);
  private final DispatchRequest request = Samples.request(Samples.stream(3), "x");

  private static LatencyEstimator estimate(double small, double large, double queue) {
    return model ->
        Optional.of(new LatencyEstimate((model.equals("large") ? large : small) + queue, queue));
  }

  /** Under any load the smallest model is first; its confidence decides on escalation. */
  @Example
  void testSendsToSmallestModelFirst() {
    assertThat(chooser.firstModel(request)).contains("small");
  }

  @Example
  void testEscalatesLowConfidenceResponseIfTimeRemains() {
    assertThat(chooser.escalationModel(request, "small", 20, estimate(0, 300_000, 0), 0))
        .contains("large");
    assertThat(chooser.escalationModel(request, "small", 80, estimate(0, 300_000, 0), 0)).isEmpty();
    assertThat(chooser.escalationModel(request, "large", 0, estimate(0, 0, 0), 0)).isEmpty();
  }

  /**
   * Under peak load only responses of very low confidence escalate, and none that would be late.
   */
  @Example
  void testThresholdFallsWithQueueWait() {
    LatencyEstimator busy = estimate(0, 300_000, 1_200_000);
    assertThat(chooser.escalationModel(request, "small", 30, busy, 0)).isEmpty();
    assertThat(chooser.escalationModel(request, "small", 10, busy, 0)).contains("large");
    assertThat(chooser.escalationModel(request, "small", 0, estimate(0, 300_000, 1_800_000), 0))
        .isEmpty();
  }

  /** Large prompts, the most valuable to escalate, take half of their time on an idle engine. */
  @Example
  void testEscalatesLargePromptThatTakesHalfOfRemainingTime() {
    LatencyEstimator idle = estimate(0, 1_000_000, 0);
    assertThat(chooser.escalationModel(request, "small", 40, idle, 0)).contains("large");
    assertThat(chooser.escalationModel(request, "small", 50, idle, 0)).isEmpty();
  }

  @Example
  void testSingleSendRequestGoesToLargestModel() {
    DispatchRequest once = Samples.request(Samples.stream(1), "x");
    assertThat(chooser.firstModel(once)).contains("large");
  }

  @Example
  void testKeepsModelNamedByCaller() {
    assertThat(chooser.firstModel(Samples.request(Samples.safe(), "x"))).isEmpty();
  }
}
