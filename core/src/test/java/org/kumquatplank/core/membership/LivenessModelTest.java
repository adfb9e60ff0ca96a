package org.kumquatplank.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import org.kumquatplank.core.membership.LivenessTable.Hearing;

/**
 * Plays instances that send digests to few of the others each round, over links that lose 5% of
 * them.
 */
class LivenessModelTest {
  private static final long SECOND = 1_000_000;
  private static final long MILLI = 1_000;
  private static final double LOSS = 0.05;
  private static final String[] DOMAINS = {"a", "b", "c", "x", "y", "z"};

  /** Bytes of an entry of a report: a fingerprint and an age. */
  private static final int ENTRY_BYTES = 5;

  /** Whether a message arrives, besides those that are lost at random. */
  private interface Link {
    boolean isOpen(int from, int to, long now);
  }

  /** Instances, which all know each other at first. */
  private static final class World {
    private final int instances;
    private final long interval;
    private final Random random = new Random(7);
    private final List<LivenessTable> tables = new ArrayList<>();
    private final long[] started;
    private final boolean[] runs;
    private final boolean[] leaving;
    private Link link = (from, to, now) -> true;
    private long reportBytesWithin;
    private long reportBytesBetween;
    private long now = SECOND;
    private int round;

    World(int instances) {
      this.instances = instances;
      this.interval = instances > 12 ? 500 * MILLI : 250 * MILLI;
      this.started = new long[instances];
      this.runs = new boolean[instances];
      this.leaving = new boolean[instances];
      for (int i = 0; i < instances; i++) {
        runs[i] = true;
        tables.add(LivenessTable.create(domain(i), new Random(i)));
      }
      for (int i = 0; i < instances; i++) {
        for (int j = 0; j < instances; j++) {
          if (i != j) {
            tables.get(i).hear(name(j), domain(j), 0, false, now);
          }
        }
      }
    }

    private static String name(int instance) {
      return String.format("n-%s-%03d", domain(instance), instance);
    }

    private static String domain(int instance) {
      return DOMAINS[instance % DOMAINS.length];
    }

    private static int index(String name) {
      return Integer.parseInt(name.substring(name.length() - 3));
    }

    /** Plays one round: each instance that runs sends its digest, in a random order. */
    void playRound() {
      round++;
      for (int i = 0; i < instances; i++) {
        now += interval / instances;
        if (!runs[i]) {
          continue;
        }
        LivenessTable table = tables.get(i);
        LivenessTable.Receivers receivers = table.receivers(round, now);
        LivenessReport within = table.sameDomainReport(now);
        for (String receiver : receivers.sameDomain()) {
          reportBytesWithin += (long) ENTRY_BYTES * within.size();
          deliver(i, index(receiver), within);
        }
        LivenessReport between = table.otherDomainReport(now);
        for (String receiver : receivers.others()) {
          reportBytesBetween += (long) ENTRY_BYTES * between.size();
          deliver(i, index(receiver), between);
        }
      }
    }

    private void deliver(int from, int to, LivenessReport report) {
      if (!runs[to] || random.nextDouble() < LOSS || !link.isOpen(from, to, now)) {
        return;
      }
      long arrival = now + (from % 2 == to % 2 ? 1 : 30) * MILLI;
      Hearing hearing =
          tables.get(to).hear(name(from), domain(from), started[from], leaving[from], arrival);
      tables.get(to).hearOf(report, arrival);
      if (hearing == Hearing.NEW && link.isOpen(to, from, now)) {
        tables.get(from).hear(name(to), domain(to), started[to], leaving[to], arrival);
      }
    }

    /** Plays some time; returns how often a running instance was missing from a running one. */
    int play(long micros) {
      long end = now + micros;
      int missing = 0;
      while (now < end) {
        playRound();
        missing += missing();
      }
      return missing;
    }

    int missing() {
      int missing = 0;
      for (int i = 0; i < instances; i++) {
        for (int j = 0; runs[i] && j < instances; j++) {
          missing += i != j && runs[j] && !tables.get(i).isLive(name(j), now) ? 1 : 0;
        }
      }
      return missing;
    }

    /** Returns how many ended instances are still live for a running one. */
    int outdated() {
      int outdated = 0;
      for (int i = 0; i < instances; i++) {
        for (int j = 0; runs[i] && j < instances; j++) {
          outdated += i != j && !runs[j] && tables.get(i).isLive(name(j), now) ? 1 : 0;
        }
      }
      return outdated;
    }
  }

  private static void checkNoneIsMissed(int instances) {
    World world = new World(instances);
    assertThat(world.play(60 * SECOND)).as("missed of %d", instances).isZero();
  }

  @Example
  void testLiveInstancesAreNotMissedWhenMessagesAreLost() {
    checkNoneIsMissed(6);
    checkNoneIsMissed(78);
  }

  @Example
  void testLiveInstancesAreNotMissedInAVeryLargeSystem() {
    World world = new World(390);
    assertThat(world.play(20 * SECOND)).isZero();
  }

  private static void checkLossOfHalf(int instances, long micros) {
    World world = new World(instances);
    world.play(20 * SECOND);
    for (int i = 0; i < instances; i += 2) {
      world.runs[i] = false;
    }
    int missing = world.play(micros);
    assertThat(world.outdated()).as("outdated of %d", instances).isZero();
    missing += world.play(6 * SECOND);
    assertThat(missing).as("missed of %d", instances).isZero();
  }

  /** Times are within the 8 s after which the address list must not name an ended instance. */
  @Example
  void testInstancesThatEndAtOnceAreGoneInTime() {
    checkLossOfHalf(6, 2 * SECOND);
    checkLossOfHalf(78, 5 * SECOND);
    checkLossOfHalf(390, 7_500 * MILLI);
  }

  @Example
  void testPartitionHeals() {
    for (int instances : new int[] {6, 78, 390}) {
      World world = new World(instances);
      world.play(5 * SECOND);
      long end = world.now + 30 * SECOND;
      world.link = (from, to, now) -> now > end || from % 2 == to % 2;
      world.play(10 * SECOND);
      assertThat(world.missing()).isEqualTo(instances * (instances / 2));
      world.play(20 * SECOND);
      world.play(6 * SECOND);
      assertThat(world.missing()).as("missing of %d", instances).isZero();
    }
  }

  @Example
  void testInstanceThatIsCutOffReturns() {
    World world = new World(78);
    long end = world.now + 20 * SECOND;
    world.link = (from, to, now) -> now > end || (from != 3 && to != 3);
    world.play(10 * SECOND);
    assertThat(world.tables.get(3).liveCount(world.now)).isZero();
    assertThat(world.tables.get(4).liveCount(world.now)).isEqualTo(76);
    world.play(16 * SECOND);
    assertThat(world.missing()).isZero();
  }

  @Example
  void testRestartedInstanceReplacesTheEarlierProcess() {
    World world = new World(78);
    world.play(10 * SECOND);
    world.started[5] = 1;
    for (int i = 0; i < 78; i++) {
      if (i != 5) {
        // The new process tells everyone of its start, as it meets them.
        world.tables.get(i).hear(World.name(5), World.domain(5), 1, false, world.now);
      }
    }
    assertThat(world.play(20 * SECOND)).isZero();
    Hearing hearing = world.tables.get(0).hear(World.name(5), World.domain(5), 0, false, world.now);
    assertThat(hearing).isEqualTo(Hearing.REPLACED);
  }

  @Example
  void testInstanceThatLeavesGetsNoRequestsEvenIfOthersTellOfIt() {
    World world = new World(78);
    world.play(10 * SECOND);
    world.leaving[5] = true;
    world.play(4 * SECOND);
    for (int i = 0; i < 78; i++) {
      if (i != 5) {
        assertThat(world.tables.get(i).acceptsRequests(World.name(5), world.now)).isFalse();
        assertThat(world.tables.get(i).isLive(World.name(5), world.now)).isTrue();
      }
    }
  }

  /** Bytes of the reports per instance and second: those between failure domains are dear. */
  @Example
  void testBytesOfReportsAreBounded() {
    int[] sizes = {6, 78, 390};
    int[] within = {0, 3_700, 9_100};
    int[] between = {70, 290, 600};
    for (int i = 0; i < sizes.length; i++) {
      World world = new World(sizes[i]);
      world.play(5 * SECOND);
      assertThat(world.reportBytesWithin / 5 / sizes[i]).isLessThanOrEqualTo(within[i]);
      assertThat(world.reportBytesBetween / 5 / sizes[i]).isLessThanOrEqualTo(between[i]);
    }
  }

  /** With eleven peers and four receivers per round, each peer is reached within three rounds. */
  @Example
  void testPeersOfTheSameDomainReceiveDigestsInRotation() {
    LivenessTable table = LivenessTable.create("a", new Random(1));
    for (int i = 0; i < 11; i++) {
      table.hear("n" + i, "a", 1, false, 0);
    }
    for (int round = 0; round < 20; round++) {
      List<String> reached = new ArrayList<>();
      for (int i = round; i < round + 3; i++) {
        reached.addAll(table.receivers(i, 0).sameDomain());
      }
      assertThat(reached)
          .contains("n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10");
    }
    assertThat(LivenessTable.rotate(List.of(1, 2), 4, 7)).containsExactly(1, 2);
  }
}
