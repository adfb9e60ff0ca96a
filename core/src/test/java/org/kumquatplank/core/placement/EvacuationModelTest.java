package org.kumquatplank.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
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
import org.kumquatplank.core.relay.ChangeBuffer;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.ReaderElection;
import org.kumquatplank.core.relay.TopicCursor;
import org.kumquatplank.core.relay.TopicUpdate;

/**
 * Orders to evacuate and to take back that reach many instances by a store and by lossy updates.
 *
 * <p>One instance is cut off from all peers and the store for a while, one starts in the middle,
 * and the history of the store is lost between the two orders.
 */
class EvacuationModelTest {
  private static final long MILLI = 1_000;
  private static final long STEP = 100 * MILLI;
  private static final long BOUND = 5_000 * MILLI;
  private static final long FRESH = 2_200 * MILLI;
  private static final long REPEAT = 2_500 * MILLI;
  private static final long READ_INTERVAL = 1_000 * MILLI;
  private static final double LOSS = 0.3;
  private static final String DOMAIN = "b";

  /** A change of the topic. */
  private record Change(long offset, String key, boolean present) {
    LogPosition position() {
      return LogPosition.of(0, offset);
    }
  }

  /** The store: the log, and the first offset that can be read. */
  private static final class Store {
    private final List<Change> log = new ArrayList<>();
    private int firstOffset;

    void append(boolean present) {
      log.add(new Change(log.size(), DOMAIN, present));
    }

    List<Change> newest() {
      Map<String, Change> newest = new HashMap<>();
      log.forEach(c -> newest.put(c.key(), c));
      return newest.values().stream().filter(Change::present).toList();
    }
  }

  /** An instance with its position in the topic and the servers that it uses. */
  private static final class Instance {
    private final String name;
    private final ReaderElection election;
    private final TopicCursor<Change> cursor = TopicCursor.create(Change::position, Change::key);
    private final ChangeBuffer<Change> buffer = ChangeBuffer.create(REPEAT, Change::key);
    private final EvacuationList list = EvacuationList.create();
    private final BackendRegistry registry = BackendRegistry.create();
    private final BackendSelector selector =
        BackendSelector.create(new Locality("a", Map.of("a", "r", DOMAIN, "r")), new PrefillRate());
    private PlacementRules rules = PlacementRules.of(Map.of("a", "r", DOMAIN, "r"));
    private long nextReadAt;
    private boolean cutOff;

    Instance(String name) {
      this.name = name;
      this.election = ReaderElection.create(name, FRESH);
      registry.setServers(List.of(server("s-a", "a"), server("s-b", DOMAIN)));
    }

    private List<Change> apply(List<Change> changes, long now) {
      for (Change change : changes) {
        if (change.present()) {
          list.begin(change.key());
        } else {
          list.end(change.key());
        }
      }
      onOrders(now);
      return changes;
    }

    private void onListed(List<Change> listed, long now) {
      list.endUnlisted(listed.stream().map(Change::key).toList());
      apply(listed, now);
    }

    private void onOrders(long now) {
      PlacementRules before = rules;
      rules = before.withEvacuated(list.evacuated());
      registry.takeBack(before, rules, () -> 1, now);
    }

    boolean uses(String domain, long now) {
      List<BackendState> servers =
          registry.all().stream().filter(s -> s.server().failureDomain().equals(domain)).toList();
      BackendSelector.Constraints constraints =
          new BackendSelector.Constraints(
              Samples.PLAIN,
              Optional.empty(),
              new VersionRule.Any(),
              rules.within(new RegionRule.Anywhere()),
              Set.of(),
              1);
      DispatchRequest request = Samples.request(Samples.safe(), "r");
      return selector.select(servers, request, constraints, now).isPresent();
    }
  }

  private static BackendServer server(String id, String domain) {
    return new BackendServer(id, 1, "pool", "127.0.0.1", 1, domain, "v1", 4, 0, false);
  }

  private final Store store = new Store();
  private final List<Instance> instances = new ArrayList<>();
  private final Random random = new Random(7);

  private void step(long now) {
    for (Instance instance : List.copyOf(instances)) {
      if (instance.cutOff || now < instance.nextReadAt || !instance.election.isReader(now)) {
        continue;
      }
      instance.nextReadAt = now + READ_INTERVAL;
      if (instance.cursor.next().offset() < store.firstOffset) {
        instance.cursor.beginListing();
        instance.onListed(
            instance
                .cursor
                .onListed(TopicUpdate.of(0, store.log.size(), store.log.size(), store.newest()))
                .orElseThrow(),
            now);
      } else {
        long from = instance.cursor.beginRead().offset();
        TopicUpdate<Change> read =
            TopicUpdate.of(
                0, from, store.log.size(), store.log.subList((int) from, store.log.size()));
        instance.buffer.add(
            instance.cursor.onRead(read, c -> instance.apply(c, now)).orElseThrow(), now);
        send(instance, instance.buffer.bufferedSpan().orElseThrow(), now);
      }
    }
  }

  private void send(Instance sender, TopicUpdate<Change> update, long now) {
    for (Instance receiver : instances) {
      boolean lost = receiver == sender || receiver.cutOff || random.nextDouble() < LOSS;
      if (!lost && receiver.cursor.onUpdate(update, c -> receiver.apply(c, now))) {
        receiver.election.recordConfirmation(sender.name, now);
      }
    }
  }

  private Instance start(int number) {
    Instance instance = new Instance(String.format("n-%03d", number));
    instance.cursor.beginListing();
    instance.onListed(
        instance
            .cursor
            .onListed(TopicUpdate.of(0, store.log.size(), store.log.size(), store.newest()))
            .orElseThrow(),
        0);
    instances.add(instance);
    return instance;
  }

  private Set<String> users(long now) {
    return instances.stream()
        .filter(i -> !i.cutOff && i.uses(DOMAIN, now))
        .map(i -> i.name)
        .collect(Collectors.toCollection(HashSet::new));
  }

  private void play(int count) {
    for (int i = 0; i < count; i++) {
      start(i);
    }
    Instance cut = instances.get(count / 2);
    Optional<Instance> late = Optional.empty();
    long ordered = 3_000 * MILLI;
    long takenBack = 13_000 * MILLI;
    for (long now = 0; now < 25_000 * MILLI; now += STEP) {
      if (now == ordered) {
        store.append(true);
      }
      if (now == takenBack) {
        store.append(false);
      }
      cut.cutOff = now >= 2_000 * MILLI && now < 7_000 * MILLI;
      if (now == 9_000 * MILLI) {
        late = Optional.of(start(count));
        assertThat(late.get().uses(DOMAIN, now)).as("the instance that starts late").isFalse();
      }
      if (now == 13_100 * MILLI) {
        store.firstOffset = store.log.size();
      }
      step(now);
      if (now == ordered - STEP) {
        assertThat(users(now)).hasSize(count - 1);
      }
      boolean cutInTouch = now < ordered + BOUND || now >= 7_000 * MILLI + BOUND;
      if (now >= ordered + BOUND && now < takenBack) {
        Set<String> users = users(now);
        users.removeIf(name -> !cutInTouch && name.equals(cut.name));
        assertThat(users).as("users at %d ms", now / MILLI).isEmpty();
      }
      if (now >= takenBack + BOUND) {
        assertThat(users(now)).as("users at %d ms", now / MILLI).hasSize(count + 1);
      }
    }
    assertThat(late).isPresent();
  }

  @Example
  void testOrderHoldsAtSixInstances() {
    play(6);
  }

  @Example
  void testOrderHoldsAt78Instances() {
    play(78);
  }

  @Example
  void testOrderHoldsAt390Instances() {
    play(390);
  }
}
