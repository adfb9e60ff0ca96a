package org.kumquatplank.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.ColdStart;

/**
 * Plays instances that all have more work for a cold backend server than it may get: 12 requests a
 * second, and in any second no more than 12 x 1.5 + 5 = 23.
 */
class ColdServersModelTest {
  private static final long SECOND = 1_000_000;
  private static final long STEP = 20_000;
  private static final int BOUND = 23;
  private static final ColdStart START = new ColdStart(12_000, 12);
  private static final String[] DOMAINS = {"a", "b", "c", "x", "y", "z"};
  private static final Map<String, String> REGIONS =
      Map.of("a", "r", "b", "r", "c", "r", "x", "s", "y", "s", "z", "s");

  /** Which other instances an instance takes to be live. */
  private interface View {
    boolean sees(int self, int other, long now);
  }

  /** Whether an instance runs; one that doesn't keeps its state. */
  private interface Running {
    boolean runs(int instance, long now);
  }

  /** The instances, their views, and what they sent to each server. */
  private static final class World {
    private final int instances;
    private final View view;
    private final Running running;
    private final List<ColdServers> all = new ArrayList<>();
    private final List<Map<String, ColdServer>> states = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final Map<String, List<Long>> sent = new HashMap<>();
    private long now;

    World(int instances, View view, Running running) {
      this.instances = instances;
      this.view = view;
      this.running = running;
      for (int i = 0; i < instances; i++) {
        String domain = DOMAINS[i % DOMAINS.length];
        Member member = new Member("front-" + domain + "-" + i, domain, REGIONS.get(domain));
        members.add(member);
        all.add(
            ColdServers.create(
                new ColdServers.Settings(member, REGIONS, 1.5, 5), s -> Optional.of(START), 0));
        states.add(new HashMap<>());
      }
    }

    void list(int instance, BackendServer server) {
      states.get(instance).put(server.id(), all.get(instance).onListed(server, now));
    }

    /** Plays until a time; each instance that runs sends what it may. */
    void playUntil(long end) {
      for (; now < end; now += STEP) {
        for (int i = 0; i < instances; i++) {
          if (!running.runs(i, now)) {
            continue;
          }
          if ((now / STEP + i) % 15 == 0) {
            all.get(i).setMembers(live(i), now);
          }
          for (Map.Entry<String, ColdServer> server : states.get(i).entrySet()) {
            if (server.getValue().permits(now)) {
              server.getValue().recordSend(now);
              sent.computeIfAbsent(server.getKey(), s -> new ArrayList<>()).add(now);
            }
          }
        }
      }
    }

    private List<Member> live(int self) {
      List<Member> live = new ArrayList<>();
      for (int i = 0; i < instances; i++) {
        if (i != self && view.sees(self, i, now)) {
          live.add(members.get(i));
        }
      }
      return live;
    }

    long sentBetween(String server, long from, long until) {
      return sent.getOrDefault(server, List.of()).stream()
          .filter(t -> t >= from && t <= until)
          .count();
    }

    /** Returns the most requests in any second that begins and ends in a period. */
    long worstSecond(String server, long from, long until) {
      long worst = 0;
      for (long start : sent.getOrDefault(server, List.of())) {
        if (start >= from && start <= until - SECOND) {
          worst = Math.max(worst, sentBetween(server, start, start + SECOND));
        }
      }
      return worst;
    }
  }

  private static BackendServer server(String id, long startedMillis, long coldMillis) {
    String domain = DOMAINS[Math.floorMod(id.hashCode(), DOMAINS.length)];
    return server(id, domain, startedMillis, coldMillis);
  }

  private static BackendServer server(
      String id, String domain, long startedMillis, long coldMillis) {
    return new BackendServer(
        id, startedMillis, "pool", "127.0.0.1", 1, domain, "v1", 16, coldMillis, false);
  }

  /** Lists a new server at each instance, up to 0.8 s later at some. */
  private static void listNew(World world, String id, long coldMillis) {
    for (int part = 0; part < 4; part++) {
      for (int i = part; i < world.instances; i += 4) {
        if (world.running.runs(i, world.now)) {
          world.list(i, server(id, 2, coldMillis));
        }
      }
      world.playUntil(world.now + 200_000);
    }
  }

  /** Returns a view that misses each instance at one look in twenty. */
  private static View lossy(Random random) {
    return (self, other, now) -> random.nextInt(20) != 0;
  }

  private static void checkNewServer(int instances, long seed) {
    World world = new World(instances, lossy(new Random(seed)), (i, now) -> true);
    world.playUntil(12 * SECOND);
    listNew(world, "new", 12_000);
    world.playUntil(24 * SECOND);
    assertThat(world.worstSecond("new", 12 * SECOND, 24 * SECOND))
        .as("requests in a second, seed %d", seed)
        .isLessThanOrEqualTo(BOUND);
    assertThat(world.sentBetween("new", 14 * SECOND, 24 * SECOND)).isBetween(60L, 125L);
  }

  @Property(tries = 10, seed = "39", shrinking = ShrinkingMode.OFF)
  void testSixInstancesShareAColdServer(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    checkNewServer(6, seed);
  }

  @Property(tries = 5, seed = "39", shrinking = ShrinkingMode.OFF)
  void testManyInstancesShareAColdServer(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    checkNewServer(78, seed);
  }

  @Example
  void testVeryManyInstancesShareAColdServer() {
    checkNewServer(390, 1);
  }

  /** An instance that is cut off knows nobody and still wants to send. */
  @Example
  void testInstancesThatAreCutOffDoNotTakeTheSharesOfTheOthers() {
    for (int instances : new int[] {6, 78}) {
      int cutOff = instances / 3;
      View view = (self, other, now) -> now < 10 * SECOND || (self >= cutOff && other >= cutOff);
      World world = new World(instances, view, (i, now) -> true);
      world.playUntil(12 * SECOND);
      listNew(world, "soon", 12_000);
      world.playUntil(50 * SECOND);
      assertThat(world.worstSecond("soon", 12 * SECOND, 24 * SECOND)).isLessThanOrEqualTo(BOUND);
      listNew(world, "later", 12_000);
      world.playUntil(62 * SECOND);
      assertThat(world.worstSecond("later", 50 * SECOND, 62 * SECOND)).isLessThanOrEqualTo(BOUND);
    }
  }

  @Example
  void testTwoHalvesThatDoNotKnowOfEachOtherStayWithinTheBound() {
    for (int instances : new int[] {6, 78}) {
      View view = (self, other, now) -> now < 10 * SECOND || self % 2 == other % 2;
      World world = new World(instances, view, (i, now) -> true);
      world.playUntil(60 * SECOND);
      listNew(world, "new", 12_000);
      world.playUntil(72 * SECOND);
      assertThat(world.worstSecond("new", 60 * SECOND, 72 * SECOND)).isLessThanOrEqualTo(BOUND);
    }
  }

  /** Each instance hears of the others within 8 s, in an order of its own. */
  @Example
  void testInstancesThatStartTogetherStayWithinTheBound() {
    for (int instances : new int[] {6, 78, 390}) {
      View view = (self, other, now) -> now > Math.floorMod(self * 31 + other * 17, 8) * SECOND;
      World world = new World(instances, view, (i, now) -> true);
      listNew(world, "cold", 25_000);
      world.playUntil(25 * SECOND);
      assertThat(world.worstSecond("cold", 0, 25 * SECOND)).isLessThanOrEqualTo(BOUND);
      assertThat(world.sentBetween("cold", 15 * SECOND, 25 * SECOND)).isGreaterThan(60);
    }
  }

  /** A frozen instance wakes up with the view and the turn that it had. */
  @Example
  void testInstancesThatWereFrozenStayWithinTheBound() {
    int instances = 78;
    Running running = (i, now) -> i % 4 != 0 || now < 10 * SECOND || now > 45 * SECOND;
    View view = (self, other, now) -> running.runs(other, now);
    World world = new World(instances, view, running);
    world.playUntil(10 * SECOND);
    for (int i = 0; i < instances; i++) {
      world.list(i, server("cold", 2, 40_000));
    }
    world.playUntil(50 * SECOND);
    assertThat(world.worstSecond("cold", 10 * SECOND, 50 * SECOND)).isLessThanOrEqualTo(BOUND);
  }

  @Example
  void testLossOfHalfOfTheInstancesLeavesAColdServerInUse() {
    Running running = (i, now) -> i / 6 % 2 == 0 || now < 10 * SECOND;
    World world =
        new World(78, (self, other, now) -> running.runs(other, now - 2 * SECOND), running);
    world.playUntil(11 * SECOND);
    listNew(world, "soon", 12_000);
    world.playUntil(23 * SECOND);
    assertThat(world.worstSecond("soon", 11 * SECOND, 23 * SECOND)).isLessThanOrEqualTo(BOUND);
    assertThat(world.sentBetween("soon", 13 * SECOND, 23 * SECOND)).isGreaterThan(20);
    world.playUntil(50 * SECOND);
    listNew(world, "later", 12_000);
    world.playUntil(62 * SECOND);
    assertThat(world.sentBetween("later", 52 * SECOND, 62 * SECOND)).isGreaterThan(60);
  }

  /** With every server cold, most instances have a share, and the servers are used. */
  @Example
  void testServiceIsUsedWhenAllItsServersAreCold() {
    int instances = 78;
    World world = new World(instances, (self, other, now) -> true, (i, now) -> true);
    world.playUntil(12 * SECOND);
    List<String> ids = new ArrayList<>();
    for (int s = 0; s < 60; s++) {
      ids.add("server-" + s);
    }
    for (int s = 0; s < 60; s++) {
      for (int i = 0; i < instances; i++) {
        world.list(i, server(ids.get(s), DOMAINS[s % 6], 2, 12_000));
      }
    }
    world.playUntil(22 * SECOND);
    for (String id : ids) {
      assertThat(world.worstSecond(id, 12 * SECOND, 22 * SECOND)).isLessThanOrEqualTo(BOUND);
      assertThat(world.sentBetween(id, 14 * SECOND, 22 * SECOND)).isGreaterThan(60);
    }
    for (int i = 0; i < instances; i++) {
      boolean hasShare =
          world.states.get(i).values().stream().anyMatch(s -> s.opensAt() < 24 * SECOND);
      assertThat(hasShare).isTrue();
    }
  }

  @Example
  void testUseGrowsStepByStepWhenAServerBecomesWarm() {
    int instances = 78;
    World world = new World(instances, (self, other, now) -> true, (i, now) -> true);
    world.playUntil(11 * SECOND);
    for (int i = 0; i < instances; i++) {
      world.list(i, server("cold", 2, 5_000));
    }
    world.playUntil(18 * SECOND);
    assertThat(world.sentBetween("cold", 16 * SECOND, 16 * SECOND + 240_000)).isLessThan(12);
    assertThat(world.sentBetween("cold", 16 * SECOND, 17 * SECOND)).isLessThan(60);
    for (int i = 0; i < instances; i++) {
      assertThat(world.states.get(i).get("cold").permits(18 * SECOND)).isTrue();
    }
  }
}
