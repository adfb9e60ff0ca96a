package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.dispatch.ModelChooser.LatencyEstimate;
import org.kumquatplank.core.dispatch.ModelChooser.FirstEventEstimate;

class ModelChooserTest {
  private final ModelChooser chooser = ModelChooser.create(60);
  private final DispatchRequest request = Samples.request(Samples.stream(3), "x");

  private static FirstEventEstimate estimate(double small, double large, double queue) {
    return model ->
        Optional.of(new LatencyEstimate((model.equals("large") ? large : small) + queue, queue));
  }

  /** The cheapest answer is asked for first, under any load: it says itself whether it will do. */
  @Example
  void testSmallestFirst() {
    assertThat(chooser.first(request)).contains("small");
  }

  @Example
  void testDoubtfulAnswerIsAskedAgainWhereThereIsTime() {
    assertThat(chooser.larger(request, "small", 20, estimate(0, 300_000, 0), 0)).contains("large");
    assertThat(chooser.larger(request, "small", 80, estimate(0, 300_000, 0), 0)).isEmpty();
    assertThat(chooser.larger(request, "large", 0, estimate(0, 0, 0), 0)).isEmpty();
  }

  /** Under a peak only the most doubtful answers are asked again, and none that would be late. */
  @Example
  void testTheMoreWaitsTheMoreDoubtfulAnAnswerHasToBe() {
    FirstEventEstimate busy = estimate(0, 300_000, 1_200_000);
    assertThat(chooser.larger(request, "small", 30, busy, 0)).isEmpty();
    assertThat(chooser.larger(request, "small", 10, busy, 0)).contains("large");
    assertThat(chooser.larger(request, "small", 0, estimate(0, 300_000, 1_800_000), 0)).isEmpty();
  }

  /** A large prompt, worth most, needs half of its time even where nothing waits. */
  @Example
  void testLargePromptIsAskedAgainThoughThatTakesHalfOfItsTime() {
    FirstEventEstimate idle = estimate(0, 1_000_000, 0);
    assertThat(chooser.larger(request, "small", 40, idle, 0)).contains("large");
    assertThat(chooser.larger(request, "small", 50, idle, 0)).isEmpty();
  }

  @Example
  void testRequestThatMayBeSentOnceGoesToTheLargest() {
    DispatchRequest once = Samples.request(Samples.stream(1), "x");
    assertThat(chooser.first(once)).contains("large");
  }

  @Example
  void testCallersOwnChoiceIsKept() {
    assertThat(chooser.first(Samples.request(Samples.safe(), "x"))).isEmpty();
  }
}
