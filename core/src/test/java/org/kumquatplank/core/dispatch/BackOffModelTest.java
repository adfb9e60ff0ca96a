package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/**
 * Instances with more work than the backend servers take, which refuse what is over their slots and
 * name a time. Instances that are cut off miss refusals, and some restart.
 */
class BackOffModelTest {
  private static final long MILLI = 1_000;
  private static final long STEP = 10 * MILLI;
  private static final long SERVICE_TIME = 100 * MILLI;
  private static final long BACK_OFF = 2_000 * MILLI;
  private static final int SERVERS = 3;
  private static final int SLOTS = 6;

  private final Map<String, Deque<Long>> endsByServer = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();

  /** One instance, with the deadlines that its servers named and what it sends. */
  private static final class Instance {
    private BackendRegistry registry;
    private final Map<String, Long> backOffUntil = new HashMap<>();
    private final Map<String, Integer> sentInStep = new HashMap<>();
    private final Map<Long, List<BackendState>> ends = new HashMap<>();
    private final BackendSelector selector =
        BackendSelector.create(new Locality("a", Map.of("a", "r")), new PrefillRate());

    Instance() {
      restart();
    }

    void restart() {
      registry = BackendRegistry.create();
      registry.setServers(
          IntStream.range(0, SERVERS)
              .mapToObj(i -> Samples.server("s" + i, "desk", "a", "v1"))
              .toList());
      backOffUntil.clear();
      ends.clear();
    }

    Optional<BackendState> select(long now) {
      return selector
          .select(registry.forService("desk"), request(), constraints(), now)
          .map(BackendSelector.Selection::backend);
    }

    OptionalLong opensAt(long now) {
      return selector.opensAt(registry.forService("desk"), request(), constraints(), now);
    }

    private static DispatchRequest request() {
      return Samples.request(Samples.safe(), "r");
    }

    private static BackendSelector.Constraints constraints() {
      return new BackendSelector.Constraints(
          Samples.PLAIN, Optional.empty(), new VersionRule.Any(), Samples.ANYWHERE, Set.of(), 1);
    }
  }

  private void play(int count, int sendsPerStep) {
    for (int i = 0; i < count; i++) {
      instances.add(new Instance());
    }
    for (long now = 0; now < 10_000 * MILLI; now += STEP) {
      long at = now;
      endsByServer.values().forEach(ends -> ends.removeIf(end -> end <= at));
      for (int i = 0; i < count; i++) {
        Instance instance = instances.get(i);
        if (now == 5_000 * MILLI && i % 6 == 0) {
          instance.restart();
        }
        instance.sentInStep.clear();
        for (BackendState done : instance.ends.getOrDefault(now, List.of())) {
          done.requestEnded();
          done.recordAccepted(now);
        }
        for (int j = 0; j < sendsPerStep; j++) {
          instance.select(now).ifPresent(backend -> send(instance, backend, at));
        }
      }
    }
  }

  private void send(Instance instance, BackendState backend, long now) {
    String id = backend.server().id();
    Long until = instance.backOffUntil.get(id);
    assertThat(until == null || now >= until)
        .as("%s gets a request while it wants none", id)
        .isTrue();
    int sent = instance.sentInStep.merge(id, 1, Integer::sum);
    if (until != null && now < until + STEP) {
      assertThat(sent).as("requests to %s as it opens again", id).isEqualTo(1);
    }
    Deque<Long> ends = endsByServer.computeIfAbsent(id, s -> new ArrayDeque<>());
    if (ends.size() >= SLOTS) {
      backend.backOff(now + BACK_OFF, now);
      instance.backOffUntil.put(id, now + BACK_OFF);
      return;
    }
    backend.requestStarted(0);
    ends.add(now + SERVICE_TIME);
    instance.ends.computeIfAbsent(now + SERVICE_TIME, t -> new ArrayList<>()).add(backend);
  }

  @Example
  void testServersGetNothingWhileTheyWantNoneAndNoBurstAfterIt() {
    for (int count : new int[] {6, 95, 390}) {
      instances.clear();
      endsByServer.clear();
      play(count, 3);
      assertThat(instances).as("%d instances", count).anyMatch(i -> !i.backOffUntil.isEmpty());
    }
  }

  @Example
  void testOpensAtIsTheFirstServerThatTakesRequestsAgain() {
    Instance instance = new Instance();
    List<BackendState> servers = instance.registry.forService("desk");
    servers.get(0).backOff(3_000, 0);
    servers.get(1).backOff(2_000, 0);
    assertThat(instance.opensAt(0)).isEmpty();
    servers.get(2).backOff(5_000, 0);
    assertThat(instance.opensAt(0)).hasValue(2_000);
    assertThat(instance.select(1_999)).isEmpty();
    assertThat(instance.select(2_000)).hasValue(servers.get(1));
  }

  @Example
  void testNumberOfRequestsDoublesWithEachThatTheServerAccepts() {
    BackendState state = new BackendState(Samples.server("s", "desk", "a", "v1"));
    assertThat(state.backOff(1_000, 0)).isTrue();
    assertThat(state.backOff(500, 0)).isFalse();
    state.recordAccepted(999);
    assertThat(state.takesAnother(999)).isFalse();
    assertThat(state.takesAnother(1_000)).isTrue();
    state.requestStarted(0);
    assertThat(state.takesAnother(1_000)).isFalse();
    state.recordAccepted(1_001);
    assertThat(state.takesAnother(1_001)).isTrue();
    state.requestStarted(0);
    assertThat(state.takesAnother(1_001)).isFalse();
  }
}
