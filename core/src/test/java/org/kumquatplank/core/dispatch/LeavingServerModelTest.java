package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;

/**
 * Instances that hear in responses or from peers that backend servers leave, with lost digests,
 * instances that are cut off, frozen or restarted, and a new process with the id of the old one.
 */
class LeavingServerModelTest {
  private static final long MILLI = 1_000;
  private static final long STEP = 250 * MILLI;
  private static final int FAN_OUT = 6;
  private static final double DIGEST_LOSS = 0.2;
  private static final int SERVERS = 4;

  private final Random random = new Random(31);
  private final List<Instance> instances = new ArrayList<>();

  /** One instance; a restart replaces what it knows. */
  private static final class Instance {
    private BackendRegistry registry = BackendRegistry.create();
    private final BackendSelector selector =
        BackendSelector.create(new Locality("a", Map.of("a", "r")), new PrefillRate());
    private boolean told;

    /** Sends a request if a server may get it, and returns that server. */
    Optional<BackendState> send(String id, long now) {
      DispatchRequest request = Samples.request(Samples.safe(), id);
      BackendSelector.Constraints constraints =
          new BackendSelector.Constraints(
              Samples.PLAIN,
              Optional.empty(),
              new VersionRule.Any(),
              Samples.ANYWHERE,
              Set.of(),
              1);
      return selector
          .select(registry.forService("desk"), request, constraints, now)
          .map(BackendSelector.Selection::backend);
    }
  }

  private static List<BackendServer> servers(long firstStartedMillis) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      long startedMillis = i == 0 ? firstStartedMillis : 1;
      servers.add(
          new BackendServer(
              "s" + i, startedMillis, "desk", "127.0.0.1", 1, "a", "v1", 6, 0, false));
    }
    return servers;
  }

  private void exchangeDigests(int cutOff) {
    List<List<LeavingServer>> digests =
        instances.stream().map(instance -> instance.registry.leaving()).toList();
    for (int i = cutOff; i < instances.size(); i++) {
      for (int j = 0; j < FAN_OUT; j++) {
        int receiver = random.nextInt(instances.size());
        if (receiver >= cutOff && random.nextDouble() >= DIGEST_LOSS) {
          instances.get(receiver).registry.addLeaving(digests.get(i));
        }
      }
    }
  }

  /** Plays 5 s in which the first server says in all its responses that it leaves. */
  private void playDeparture(int count) {
    int cutOff = count / 6;
    for (int i = 0; i < count; i++) {
      instances.add(new Instance());
      instances.get(i).registry.setServers(servers(1));
    }
    for (long now = 0; now < 5_000 * MILLI; now += STEP) {
      for (int i = 0; i < count; i++) {
        Instance instance = instances.get(i);
        if (now == 2_000 * MILLI && i >= count - cutOff) {
          instance.registry = BackendRegistry.create();
          instance.registry.setServers(servers(1));
          instance.told = false;
        }
        sendRequest(instance, i + "-" + now, now);
      }
      exchangeDigests(cutOff);
    }
  }

  private static void sendRequest(Instance instance, String id, long now) {
    BackendState backend = instance.send(id, now).orElseThrow();
    if (backend.server().id().equals("s0")) {
      assertThat(instance.told).isFalse();
      instance.told = true;
      backend.recordLeaving();
    }
  }

  @Example
  void testNoInstanceSendsToAServerThatToldItThatItLeaves() {
    for (int count : new int[] {6, 95, 390}) {
      instances.clear();
      playDeparture(count);
      long known = instances.stream().filter(i -> !i.registry.leaving().isEmpty()).count();
      assertThat(known).as("%d instances", count).isGreaterThanOrEqualTo(count - count / 6);
    }
  }

  @Example
  void testLateDigestsDoNotCloseTheNextProcessWithTheSameId() {
    for (int count : new int[] {6, 95, 390}) {
      instances.clear();
      playDeparture(count);
      // Half of the instances see the new process first; the others still tell of the old one.
      instances.subList(0, count / 2).forEach(i -> i.registry.setServers(servers(2)));
      for (int round = 0; round < 20; round++) {
        exchangeDigests(0);
      }
      instances.forEach(i -> i.registry.setServers(servers(2)));
      exchangeDigests(0);
      assertThat(instances).as("%d instances", count).allMatch(i -> i.registry.leaving().isEmpty());
    }
  }

  @Example
  void testRequestsGoElsewhereAndNowhereIfAllServersLeave() {
    Instance instance = new Instance();
    instance.registry.setServers(servers(1));
    instance.registry.addLeaving(
        List.of(
            new LeavingServer("s0", 1),
            new LeavingServer("s1", 1),
            new LeavingServer("s2", 0),
            new LeavingServer("gone", 1)));
    for (int i = 0; i < 20; i++) {
      assertThat(instance.send("r" + i, 0).orElseThrow().server().id()).isIn("s2", "s3");
    }
    instance.registry.forService("desk").forEach(BackendState::recordLeaving);
    assertThat(instance.send("r", 0)).isEmpty();
  }
}
