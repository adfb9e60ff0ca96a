package org.kumquatplank.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.Locality;
import org.kumquatplank.core.dispatch.PrefillRate;
import org.kumquatplank.core.dispatch.Samples;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * Many instances that learn at the same time that a failure domain is taken back, whose server is
 * idle while the others have work.
 */
class EvacuationReturnModelTest {
  private static final long MILLI = 1_000;
  private static final long STEP = 10 * MILLI;
  private static final long SERVICE_MICROS = 50 * MILLI;
  private static final long END = 4_000 * MILLI;
  private static final PlacementRules NORMAL = PlacementRules.of(Map.of("a", "r", "b", "r"));

  /** An instance with its requests at the server that is taken back, by the time of their end. */
  private static final class Instance {
    private final BackendRegistry registry = BackendRegistry.create();
    private final BackendSelector selector =
        BackendSelector.create(new Locality("b", Map.of("a", "r", "b", "r")), new PrefillRate());
    private final List<Long> ends = new ArrayList<>();

    Instance(Random random) {
      registry.setServers(
          List.of(
              new BackendServer("s-a", 1, "desk", "127.0.0.1", 1, "a", "v1", 400, 0, false),
              new BackendServer("s-b", 1, "desk", "127.0.0.1", 1, "b", "v1", 400, 0, false)));
      registry.takeBack(NORMAL.withEvacuated(Set.of("b")), NORMAL, random::nextDouble, 0);
    }

    /** Sends the requests of a step; returns how many go to the server that is taken back. */
    int step(int requests, long now) {
      int sent = 0;
      ends.removeIf(end -> end <= now && end(now));
      for (int i = 0; i < requests; i++) {
        DispatchRequest request = Samples.request(Samples.safe(), "r");
        BackendSelector.Constraints constraints =
            new BackendSelector.Constraints(
                Samples.PLAIN,
                Optional.empty(),
                new VersionRule.Any(),
                NORMAL.within(new RegionRule.Anywhere()),
                Set.of(),
                1);
        BackendState state =
            selector
                .select(registry.forService("desk"), request, constraints, now)
                .orElseThrow()
                .backend();
        if (state.server().failureDomain().equals("b")) {
          state.requestStarted(0);
          ends.add(now + SERVICE_MICROS);
          sent++;
        }
      }
      return sent;
    }

    private boolean end(long now) {
      BackendState state =
          registry.all().stream()
              .filter(s -> s.server().failureDomain().equals("b"))
              .findFirst()
              .orElseThrow();
      state.requestEnded();
      state.recordAccepted(now);
      return true;
    }
  }

  /**
   * Each instance has four requests a step, which all prefer the near and idle server.
   *
   * @param maxInFirst requests that the server may get in the first 100 ms
   */
  private static void play(int count, int maxInFirst) {
    Random random = new Random(11);
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(random));
    }
    int inFirst = 0;
    int inLastStep = 0;
    for (long now = 0; now < END; now += STEP) {
      inLastStep = 0;
      for (Instance instance : instances) {
        inLastStep += instance.step(4, now);
      }
      inFirst += now < 100 * MILLI ? inLastStep : 0;
    }
    assertThat(inFirst).as("requests in the first 100 ms").isLessThanOrEqualTo(maxInFirst);
    assertThat(inLastStep).as("requests in a step after 4 s").isEqualTo(4 * count);
  }

  @Example
  void testServerIsNotMetByAllOfSixInstancesAtOnce() {
    play(6, 12);
  }

  @Example
  void testServerIsNotMetByAllOf78InstancesAtOnce() {
    play(78, 39);
  }

  @Example
  void testServerIsNotMetByAllOf390InstancesAtOnce() {
    play(390, 195);
  }
}
