package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import org.kumquatplank.core.relay.ReaderElection;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.testkit.fleet.FakeStore;

class StoreFollowerTest {
  private static final long PATIENCE_MILLIS = 8_000;

  /** So long that no test waits until the news of another instance are stale. */
  private static final long FRESH_MICROS = 3_600_000_000L;

  /** Keeps what a follower was given, as "key=value" in order. */
  private static final class Seen implements StoreFollower.Listener {
    private final List<String> changes = Collections.synchronizedList(new ArrayList<>());
    private final List<StoreFollower.Told> confirmed =
        Collections.synchronizedList(new ArrayList<>());
    private volatile boolean listed;

    @Override
    public void onListing(List<StoreRecord> records) {
      listed = true;
    }

    @Override
    public List<StoreRecord> onChanges(List<StoreRecord> records) {
      records.forEach(
          r ->
              changes.add(
                  r.key() + "=" + new String(r.value().orElseThrow(), StandardCharsets.UTF_8)));
      return records;
    }

    @Override
    public void onRegained(long outageMicros) {}

    @Override
    public void onConfirmed(StoreFollower.Told told) {
      confirmed.add(told);
    }
  }

  /** A follower named "b" on a store of its own. */
  private static final class Fixture implements AutoCloseable {
    private final FakeStore store;
    private final EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Seen seen = new Seen();
    private final StoreClient client;
    private final StoreFollower follower;

    Fixture() throws IOException {
      store = FakeStore.open("127.0.0.1");
      client = StoreClient.create(loop, store.address());
      StoreFollower.Topic topic = new StoreFollower.Topic("t", 0, 50);
      ReaderElection election = ReaderElection.create("b", FRESH_MICROS);
      follower = new StoreFollower(loop, client, topic, election, seen);
      loop.execute(follower::start);
      await(() -> seen.listed);
    }

    void told(String sender, long from, long next, StoreRecord... records) {
      StoreFollower.Told told = new StoreFollower.Told(from, next, List.of(records));
      loop.submit(() -> follower.onTold(sender, told, Clock.micros())).syncUninterruptibly();
    }

    @Override
    public void close() {
      loop.parent().shutdownGracefully();
      store.close();
    }
  }

  private static StoreRecord record(long offset, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    return new StoreRecord(offset, key, Optional.of(bytes));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() / 1_000_000 + PATIENCE_MILLIS;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() / 1_000_000).as("still waiting").isLessThan(end);
      Thread.onSpinWait();
    }
  }

  @Example
  void testInstanceThatIsToldDoesNotRead() throws IOException {
    try (Fixture f = new Fixture()) {
      f.told("a", 0, 1, record(0, "k", "1"));
      long before = f.client.calls();
      for (int i = 0; i < 20; i++) {
        f.told("a", 0, 1, record(0, "k", "1"));
        f.loop.submit(() -> {}).syncUninterruptibly();
      }
      // A read that was under way when the first news came may still end.
      assertThat(f.client.calls() - before).isLessThanOrEqualTo(1);
      assertThat(f.seen.changes).containsExactly("k=1");
    }
  }

  @Example
  void testRecordThatIsReadAfterItWasToldCountsOnce() throws IOException {
    try (Fixture f = new Fixture()) {
      f.told("z", 0, 2, record(0, "k", "1"), record(1, "k", "2"));
      f.store.put("t", "k", "1");
      f.store.put("t", "k", "2");
      f.store.put("t", "k", "3");
      await(() -> f.seen.changes.contains("k=3"));
      assertThat(f.seen.changes).containsExactly("k=1", "k=2", "k=3");
    }
  }

  @Example
  void testNewsAfterAGapAreReadFromTheStore() throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.put("t", "k", "1");
      f.store.put("t", "k", "2");
      f.told("a", 7, 8, record(7, "k", "9"));
      await(() -> f.seen.changes.contains("k=2"));
      assertThat(f.seen.changes).containsExactly("k=1", "k=2");
    }
  }

  @Example
  void testNewsAfterAGapAreReadThoughAnotherInstanceReads() throws IOException {
    try (Fixture f = new Fixture()) {
      f.told("a", 0, 0);
      f.store.put("t", "k", "1");
      f.store.put("t", "k", "2");
      f.told("a", 1, 2, record(1, "k", "2"));
      await(() -> f.seen.changes.contains("k=2"));
      assertThat(f.seen.changes).containsExactly("k=1", "k=2");
    }
  }

  @Example
  void testInstanceThatTheStoreTurnsAwayIsToldChanges() throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.setFault(FakeStore.Fault.DOWN);
      f.told("a", 0, 1, record(0, "k", "revoked"));
      await(() -> f.seen.changes.contains("k=revoked"));
    }
  }

  @Example
  void testReaderTellsWhatItRead() throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.put("t", "k", "1");
      await(() -> f.seen.confirmed.stream().anyMatch(t -> !t.changed().isEmpty()));
      StoreFollower.Told told =
          f.seen.confirmed.stream().filter(t -> !t.changed().isEmpty()).findFirst().orElseThrow();
      assertThat(told.from()).isZero();
      assertThat(told.next()).isEqualTo(1);
      assertThat(told.changed().get(0).key()).isEqualTo("k");
    }
  }
}
