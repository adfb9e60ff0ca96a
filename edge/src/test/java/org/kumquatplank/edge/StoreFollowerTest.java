package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.ReaderElection;
import org.kumquatplank.core.relay.TopicUpdate;
import org.kumquatplank.link.proto.RelayedRecord;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.testkit.fleet.FakeStore;

class StoreFollowerTest {
  private static final long TIMEOUT_MILLIS = 8_000;

  private static final long LONG_POLL_MILLIS = 5_000;

  /** Bound on the time in which a configuration takes effect. */
  private static final long PROPAGATION_MICROS = 3_000_000;

  /** Longer than any test, so that the updates of a peer stay current. */
  private static final long FRESH_MICROS = 3_600_000_000L;

  /** Records the changes that a follower delivers, as "key=value" in order. */
  private static final class RecordingListener implements StoreFollower.Listener {
    private final List<String> changes = Collections.synchronizedList(new ArrayList<>());
    private final List<TopicUpdate<StoreRecord>> confirmed =
        Collections.synchronizedList(new ArrayList<>());
    private final List<List<StoreRecord>> snapshots =
        Collections.synchronizedList(new ArrayList<>());

    @Override
    public void onSnapshot(List<StoreRecord> records, LogPosition end) {
      snapshots.add(records);
    }

    @Override
    public void onEraReplaced(LogPosition position) {}

    @Override
    public List<StoreRecord> onRestored(List<StoreRecord> records, LogPosition end) {
      snapshots.add(records);
      return records;
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
    public void onRecovered(long outageMicros) {}

    @Override
    public void onConfirmed(TopicUpdate<StoreRecord> update) {
      confirmed.add(update);
    }
  }

  /** A follower in an instance named "b", with its own store. */
  private static final class Fixture implements AutoCloseable {
    private final FakeStore store;
    private final EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final RecordingListener listener = new RecordingListener();
    private final StoreClient client;
    private final StoreFollower follower;

    Fixture() throws IOException {
      this(0);
    }

    Fixture(long waitMillis) throws IOException {
      this(waitMillis, FRESH_MICROS);
    }

    Fixture(long waitMillis, long freshMicros) throws IOException {
      store = FakeStore.open("127.0.0.1");
      client = StoreClient.create(loop, store.address());
      StoreFollower.Topic topic = new StoreFollower.Topic("t", waitMillis, 50);
      ReaderElection election = ReaderElection.create("b", freshMicros);
      follower = new StoreFollower(loop, client, topic, election, listener);
      loop.execute(follower::start);
      await(() -> !listener.snapshots.isEmpty());
    }

    void receive(String sender, long from, long next, StoreRecord... records) {
      TopicUpdate<StoreRecord> update = TopicUpdate.of(0, from, next, List.of(records));
      loop.submit(() -> follower.onUpdate(sender, update, Clock.micros())).syncUninterruptibly();
    }

    @Override
    public void close() {
      loop.parent().shutdownGracefully();
      store.close();
    }
  }

  private static StoreRecord record(long offset, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    return new StoreRecord(LogPosition.of(0, offset), key, Optional.of(bytes));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() / 1_000_000 + TIMEOUT_MILLIS;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() / 1_000_000)
          .as("condition did not hold within 8 s")
          .isLessThan(end);
      Thread.onSpinWait();
    }
  }

  @Example
  void testInstanceThatReceivesUpdatesDoesNotRead() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("a", 0, 1, record(0, "k", "1"));
      long before = f.client.requestCount();
      for (int i = 0; i < 20; i++) {
        f.receive("a", 0, 1, record(0, "k", "1"));
        f.loop.submit(() -> {}).syncUninterruptibly();
      }
      // A read that was in flight when the first update arrived may still complete.
      assertThat(f.client.requestCount() - before).isLessThanOrEqualTo(1);
      assertThat(f.listener.changes).containsExactly("k=1");
    }
  }

  @Example
  void testRecordReceivedFromAPeerAndThenReadIsAppliedOnce() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("z", 0, 2, record(0, "k", "1"), record(1, "k", "2"));
      f.store.put("t", "k", "1");
      f.store.put("t", "k", "2");
      f.store.put("t", "k", "3");
      await(() -> f.listener.changes.contains("k=3"));
      assertThat(f.listener.changes).containsExactly("k=1", "k=2", "k=3");
    }
  }

  /**
   * Each relay repeats the changes of the last seconds. Those that were applied are not decoded
   * again, which would be most of the work of an instance without requests.
   */
  @Example
  void testRepeatedChangesOfRelayAreNotDecoded() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("a", 0, 1, record(0, "k", "1"));
      TopicRelay relay =
          TopicRelay.newBuilder()
              .setSender("a")
              .setTopic("t")
              .setFrom(0)
              .setNext(2)
              .addRecords(relayed(0, "k", ByteString.copyFromUtf8("not compressed")))
              .addRecords(
                  relayed(1, "m", ValueCompression.compress("2".getBytes(StandardCharsets.UTF_8))))
              .build();
      f.loop
          .submit(() -> TopicUpdates.deliverTo(relay, Clock.micros(), f.follower, until -> {}))
          .syncUninterruptibly();
      assertThat(f.listener.changes).containsExactly("k=1", "m=2");
    }
  }

  private static RelayedRecord relayed(long offset, String key, ByteString value) {
    return RelayedRecord.newBuilder().setOffset(offset).setKey(key).setValue(value).build();
  }

  @Example
  void testUpdateAfterAGapIsReadFromTheStore() throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.put("t", "j", "1");
      f.store.put("t", "j", "2");
      f.receive("a", 7, 8, record(7, "k", "9"));
      await(() -> f.listener.changes.contains("j=2"));
      assertThat(f.listener.changes).containsExactlyInAnyOrder("k=9", "j=1", "j=2");
      assertThat(f.listener.changes).containsSubsequence("j=1", "j=2");
    }
  }

  @Example
  void testUpdateAfterAGapIsReadFromTheStoreByANonReaderToo() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("a", 0, 0);
      f.store.put("t", "j", "1");
      f.store.put("t", "k", "2");
      f.receive("a", 1, 2, record(1, "k", "2"));
      await(() -> f.listener.changes.contains("j=1"));
      assertThat(f.listener.changes).containsExactly("k=2", "j=1");
    }
  }

  /** With many instances, a datagram of each to each other would fill their links. */
  @Example
  void testInstanceThatOnlyFillsAGapSendsNoUpdate() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("a", 0, 0);
      f.store.put("t", "k", "1");
      f.loop.submit(() -> f.follower.requestCatchUp(LogPosition.of(0, 1))).syncUninterruptibly();
      await(() -> f.listener.changes.contains("k=1"));
      f.loop.submit(() -> {}).syncUninterruptibly();
      assertThat(f.listener.confirmed).noneMatch(u -> u.next().offset() > 0);
    }
  }

  /**
   * Guards against a revoked key that runs for seconds where the configuration does not fit into an
   * update: the instance lacks the change, and a read that failed once was repeated the later the
   * more peers come before by name.
   */
  @Example
  void testMissingChangeIsReadSoonAfterAFailedReadHoweverManyPeersThereAre() throws IOException {
    try (Fixture f = new Fixture()) {
      List<String> peers = IntStream.range(0, 36).mapToObj(i -> "a" + (10 + i)).toList();
      f.loop.submit(() -> f.follower.setLivePeers(peers)).syncUninterruptibly();
      f.receive("a10", 0, 0);
      f.store.setFault(FakeStore.Fault.DOWN);
      f.store.put("t", "k", "revoked");
      long before = f.client.requestCount();
      f.receive("a10", 1, 1);
      await(() -> f.client.requestCount() > before);
      f.loop.submit(() -> {}).syncUninterruptibly();
      EdgeFixture.pause(100);
      f.store.setFault(FakeStore.Fault.NONE);
      long start = Clock.micros();
      await(() -> f.listener.changes.contains("k=revoked"));
      assertThat(Clock.micros() - start).isLessThan(PROPAGATION_MICROS);
    }
  }

  /** Guards against the same where the read had failed before the change was known. */
  @Example
  void testMissingChangeIsReadSoonThoughALaterRetryWasPlanned() throws IOException {
    try (Fixture f = new Fixture(0, 100_000)) {
      List<String> peers = IntStream.range(0, 36).mapToObj(i -> "a" + (10 + i)).toList();
      f.loop.submit(() -> f.follower.setLivePeers(peers)).syncUninterruptibly();
      f.store.setFault(FakeStore.Fault.DOWN);
      long before = f.client.requestCount();
      await(() -> f.client.requestCount() > before);
      EdgeFixture.pause(100);
      f.store.setFault(FakeStore.Fault.NONE);
      f.store.put("t", "k", "revoked");
      long start = Clock.micros();
      f.receive("a10", 1, 1);
      await(() -> f.listener.changes.contains("k=revoked"));
      assertThat(Clock.micros() - start).isLessThan(PROPAGATION_MICROS);
    }
  }

  @Example
  void testInstanceWithoutAccessToTheStoreReceivesChangesFromPeers() throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.setFault(FakeStore.Fault.DOWN);
      f.receive("a", 0, 1, record(0, "k", "revoked"));
      await(() -> f.listener.changes.contains("k=revoked"));
    }
  }

  @Example
  void testReaderPublishesTheChangesThatItRead() throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.put("t", "k", "1");
      await(() -> f.listener.confirmed.stream().anyMatch(t -> !t.changes().isEmpty()));
      TopicUpdate<StoreRecord> update =
          f.listener.confirmed.stream()
              .filter(t -> !t.changes().isEmpty())
              .findFirst()
              .orElseThrow();
      assertThat(update.from()).isEqualTo(LogPosition.of(0, 0));
      assertThat(update.next()).isEqualTo(LogPosition.of(0, 1));
      assertThat(update.changes().get(0).key()).isEqualTo("k");
    }
  }

  /** A peer that misses the other reader's update would take the range as applied without it. */
  @Example
  void testUpdateHoldsAChangeThatAPeerSentWhileTheReadWasUnderWay() throws IOException {
    try (Fixture f = new Fixture(LONG_POLL_MILLIS)) {
      // The snapshot, and the long poll from offset 0.
      await(() -> f.client.requestCount() == 2);
      f.receive("z", 0, 1, record(0, "k", "revoked"));
      f.store.put("t", "k", "revoked");
      await(() -> f.listener.confirmed.stream().anyMatch(u -> u.next().offset() > 0));
      TopicUpdate<StoreRecord> update =
          f.listener.confirmed.stream()
              .filter(u -> u.next().offset() > 0)
              .findFirst()
              .orElseThrow();
      assertThat(update.from()).isEqualTo(LogPosition.of(0, 0));
      assertThat(update.changes()).extracting(StoreRecord::key).containsExactly("k");
      assertThat(f.listener.changes).containsExactly("k=revoked");
    }
  }

  @Example
  void testInstanceWhoseListingFailsReceivesChangesFromPeers() throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.setFault(FakeStore.Fault.DOWN);
      f.store.put("t", "k", "1");
      f.store.put("t", "k", "revoked");
      f.store.forgetHistory("t");
      f.store.setFault(FakeStore.Fault.LISTINGS_FAIL);
      await(() -> f.store.failedListings() > 0);
      f.receive("a", 0, 2, record(1, "k", "revoked"));
      await(() -> f.listener.changes.contains("k=revoked"));
    }
  }

  @Example
  void testInstanceThatLostAChangeListsTheTopicAnew() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("a", 0, 1);
      f.store.put("t", "k", "revoked");
      f.loop.submit(() -> f.follower.requestCatchUp(LogPosition.of(0, 1))).syncUninterruptibly();
      await(() -> f.listener.snapshots.size() == 2);
      assertThat(f.listener.snapshots.get(1)).extracting(StoreRecord::key).containsExactly("k");
    }
  }

  @Example
  void testInstanceWhosePeerHasLaterChangesReads() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("a", 0, 0);
      f.store.put("t", "k", "revoked");
      f.loop.submit(() -> f.follower.requestCatchUp(LogPosition.of(0, 1))).syncUninterruptibly();
      await(() -> f.listener.changes.contains("k=revoked"));
    }
  }

  @Example
  void testRevocationIsAppliedDespiteAnEarlierGapWhileTheStoreTurnsTheInstanceAway()
      throws IOException {
    try (Fixture f = new Fixture()) {
      f.store.setFault(FakeStore.Fault.DOWN);
      f.receive("a", 5, 6, record(5, "k", "revoked"));
      await(() -> f.listener.changes.contains("k=revoked"));
    }
  }

  /** A datagram that was delayed, or sent after a pause, may arrive after newer ones. */
  @Example
  void testUpdateThatIsOlderThanTheStateDoesNotConfirmIt() throws IOException {
    try (Fixture f = new Fixture()) {
      TopicUpdate<StoreRecord> newer =
          TopicUpdate.of(0, 0, 2, List.of(record(0, "k", "1"), record(1, "k", "2")));
      TopicUpdate<StoreRecord> older = TopicUpdate.of(0, 0, 1, List.of(record(0, "k", "1")));
      long now = Clock.micros();
      AtomicLong confirmedAt = new AtomicLong();
      f.loop
          .submit(
              () -> {
                f.follower.onUpdate("a", newer, now);
                f.follower.onUpdate("a", older, now + 1_000_000);
                confirmedAt.set(f.follower.status().confirmedAt());
              })
          .syncUninterruptibly();
      assertThat(confirmedAt.get()).isEqualTo(now);
    }
  }

  /** Guards against a topic that stands still for an instance that does not read it. */
  @Example
  void testTopicIsListedAnewWhenAPeerNamesALaterEra() throws IOException {
    try (Fixture f = new Fixture()) {
      f.receive("a", 0, 1, record(0, "k", "1"));
      f.store.setEra(1);
      f.store.put("t", "k", "2");
      StoreRecord sent = new StoreRecord(LogPosition.of(1, 0), "k", Optional.of(new byte[] {'2'}));
      TopicUpdate<StoreRecord> update = TopicUpdate.of(1, 0, 1, List.of(sent));
      f.loop.submit(() -> f.follower.onUpdate("a", update, Clock.micros())).syncUninterruptibly();
      assertThat(f.listener.changes).containsExactly("k=1", "k=2");
      await(() -> f.listener.snapshots.size() == 2);
      await(
          () -> f.loop.submit(f.follower::status).syncUninterruptibly().getNow().next().isKnown());
      assertThat(f.loop.submit(f.follower::status).syncUninterruptibly().getNow().next())
          .isEqualTo(LogPosition.of(1, 1));
    }
  }
}
