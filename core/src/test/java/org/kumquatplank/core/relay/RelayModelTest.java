package org.kumquatplank.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Plays random schedules of a topic that several instances read and pass on to each other.
 *
 * <p>Reads fail, listings are slow, and datagrams are lost, repeated and delayed in any order.
 */
class RelayModelTest {
  private static final int INSTANCES = 4;
  private static final int KEYS = 2;
  private static final int VALUES = 2;

  /** In steps of the schedule, so that old changes are dropped from the buffers. */
  private static final long RETENTION = 60;

  /** A change of the topic; an empty value deletes the key. */
  private record Change(long offset, String key, String value) {
    LogPosition position() {
      return LogPosition.of(0, offset);
    }
  }

  /** An update on its way to an instance. */
  private record Datagram(int receiver, TopicUpdate<Change> update) {}

  /** An instance with the values that it has applied. */
  private static final class Instance {
    private final TopicCursor<Change> cursor = TopicCursor.create(Change::position, Change::key);
    private final ChangeBuffer<Change> buffer = ChangeBuffer.create(RETENTION, Change::key);
    private final Map<String, Change> applied = new HashMap<>();
    private OptionalLong readFrom = OptionalLong.empty();
    private Optional<Listing> listing = Optional.empty();
    private long listedUntil;

    /** Applies changes in the order of the log; repeated values of a key are not passed on. */
    private List<Change> apply(List<Change> changes) {
      List<Change> changed = new ArrayList<>();
      for (Change change : changes) {
        Change before = applied.put(change.key(), change);
        assertThat(before == null || before.offset() < change.offset()).isTrue();
        if (before == null || !change.value().equals(before.value()) || change.value().isEmpty()) {
          changed.add(change);
        }
      }
      return changed;
    }
  }

  /**
   * A listing of the newest records, whose page is read after the listing began.
   *
   * @param end end of the log when the listing began
   * @param pageEnd end of the log when the page was read
   */
  private record Listing(long end, long pageEnd, Optional<List<Change>> page) {}

  /** The log, the instances and the network. */
  private static final class World {
    private final List<Change> log = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final List<Datagram> network = new ArrayList<>();
    private long now;

    World() {
      for (int i = 0; i < INSTANCES; i++) {
        instances.add(new Instance());
      }
    }

    void step(int choice) {
      now++;
      int argument = choice / 9;
      Instance instance = instances.get(argument % INSTANCES);
      switch (choice % 9) {
        case 0, 1 -> append(argument);
        case 2 -> beginRead(instance);
        case 3 -> endRead(instance);
        case 8 -> failRead(instance);
        case 4 -> beginOrReadListing(instance);
        case 5 -> endListing(instance);
        case 6 -> deliver(argument, true);
        default -> deliver(argument, false);
      }
    }

    private void append(int argument) {
      String value = argument / KEYS % (VALUES + 1) == 0 ? "" : "v" + argument / KEYS % VALUES;
      log.add(new Change(log.size(), "k" + argument % KEYS, value));
    }

    private void beginRead(Instance instance) {
      if (instance.readFrom.isEmpty() && instance.listing.isEmpty()) {
        instance.readFrom = OptionalLong.of(instance.cursor.beginRead().offset());
      }
    }

    private void failRead(Instance instance) {
      if (instance.readFrom.isPresent()) {
        instance.readFrom = OptionalLong.empty();
        instance.cursor.onReadFailed();
      }
    }

    /** The store answers and the answer arrives; a peer's update may have come before it. */
    private void endRead(Instance instance) {
      if (instance.readFrom.isEmpty()) {
        return;
      }
      long from = instance.readFrom.getAsLong();
      TopicUpdate<Change> read =
          TopicUpdate.of(0, from, log.size(), log.subList((int) from, log.size()));
      instance.readFrom = OptionalLong.empty();
      TopicUpdate<Change> update = instance.cursor.onRead(read, instance::apply).orElseThrow();
      instance.buffer.add(update, now);
      for (int i = 0; i < INSTANCES; i++) {
        if (instances.get(i) != instance) {
          network.add(new Datagram(i, instance.buffer.bufferedSpan().orElseThrow()));
        }
      }
    }

    private void beginOrReadListing(Instance instance) {
      if (instance.readFrom.isPresent()) {
        return;
      }
      if (instance.listing.isEmpty()) {
        instance.cursor.beginListing();
        instance.listing = Optional.of(new Listing(log.size(), log.size(), Optional.empty()));
      } else if (instance.listing.get().page().isEmpty()) {
        instance.listing =
            Optional.of(
                new Listing(
                    instance.listing.get().end(), log.size(), Optional.of(newestOfEachKey())));
      }
    }

    private List<Change> newestOfEachKey() {
      Map<String, Change> newest = new HashMap<>();
      log.forEach(c -> newest.put(c.key(), c));
      newest.values().removeIf(c -> c.value().isEmpty());
      return List.copyOf(newest.values());
    }

    private void endListing(Instance instance) {
      if (instance.listing.isEmpty() || instance.listing.get().page().isEmpty()) {
        return;
      }
      Listing listing = instance.listing.get();
      instance.listing = Optional.empty();
      List<Change> records =
          instance
              .cursor
              .onListed(TopicUpdate.of(0, listing.end(), listing.end(), listing.page().get()))
              .orElseThrow();
      instance.applied.clear();
      records.forEach(c -> instance.applied.put(c.key(), c));
      instance.listedUntil = listing.pageEnd();
    }

    private void deliver(int argument, boolean keep) {
      if (network.isEmpty()) {
        return;
      }
      int index = argument % network.size();
      Datagram datagram = keep ? network.get(index) : network.remove(index);
      Instance receiver = instances.get(datagram.receiver());
      receiver.cursor.onUpdate(datagram.update(), receiver::apply);
    }

    /** The value of a key below an offset. */
    private String valueBelow(String key, long offset) {
      return log.stream()
          .filter(c -> c.offset() < offset && c.key().equals(key))
          .reduce((first, second) -> second)
          .map(Change::value)
          .orElse("");
    }

    /** A key may be ahead of the offset, after a listing or an update that left a gap. */
    void check() {
      for (Instance instance : instances) {
        for (int k = 0; k < KEYS; k++) {
          check(instance, "k" + k);
        }
      }
    }

    private void check(Instance instance, String key) {
      long next = instance.cursor.next().offset();
      Change applied = instance.applied.get(key);
      String expected = valueBelow(key, next);
      if (applied != null && applied.offset() >= next) {
        expected = log.get((int) applied.offset()).value();
      } else if (applied == null && instance.listedUntil > next) {
        // The listing tells nothing of a key that was deleted while it was read.
        expected = valueBelow(key, instance.listedUntil);
      }
      assertThat(applied == null ? "" : applied.value())
          .as("%s at offset %d of instance %d", key, next, instances.indexOf(instance))
          .isEqualTo(expected);
    }
  }

  @Property(tries = 4_000, seed = "18")
  void testEveryChangeBelowTheOffsetOfAnInstanceIsApplied(
      @ForAll @Size(min = 60, max = 120) List<@IntRange(min = 0, max = 100_000) Integer> schedule) {
    World world = new World();
    world.instances.forEach(
        i -> {
          i.cursor.beginListing();
          assertThat(i.cursor.onListed(TopicUpdate.of(0, 0, 0, List.of()))).contains(List.of());
        });
    for (int choice : schedule) {
      world.step(choice);
      world.check();
    }
  }
}
