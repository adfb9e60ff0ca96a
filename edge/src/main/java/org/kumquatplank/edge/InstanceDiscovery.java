package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.EdgeSettings;
import org.kumquatplank.platform.wire.SettingsDecoder;

/**
 * Registers this instance in the store, and finds the others that are registered there.
 *
 * <p>Confined to the control thread.
 */
final class InstanceDiscovery {
  private static final String TOPIC = "instances";
  private static final long INTERVAL_MILLIS = 15_000;

  /** Longer interval while peers are known, since their digests name new instances. */
  private static final long INTERVAL_WITH_PEERS_MILLIS = 60_000;

  private static final long RETRY_MILLIS = 500;

  private final EdgeSettings settings;
  private final EventLoop loop;
  private final StoreClient store;
  private final PeerDirectory directory;

  private InstanceDiscovery(
      EdgeSettings settings, EventLoop loop, StoreClient store, PeerDirectory directory) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.directory = directory;
  }

  static InstanceDiscovery create(
      EdgeSettings settings, EventLoop loop, StoreClient store, PeerDirectory directory) {
    return new InstanceDiscovery(settings, loop, store, directory);
  }

  /** Returns the address of an instance for traffic between instances. */
  static String peerAddress(EdgeSettings settings) {
    return settings.host() + ":" + settings.firstPeerPort();
  }

  /**
   * Registers this instance until the store accepts it, then looks for others from time to time.
   */
  void start() {
    byte[] value = peerAddress(settings).getBytes(StandardCharsets.UTF_8);
    store
        .put(TOPIC, settings.instance(), value, OptionalLong.empty())
        .whenComplete(
            (offset, failure) -> {
              if (failure != null) {
                loop.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
              } else {
                discover();
              }
            });
  }

  private void discover() {
    store
        .readNewest(TOPIC)
        .whenComplete(
            (page, failure) -> {
              if (failure == null) {
                page.records().forEach(r -> StoreFollower.applyOrLog(r, this::onRecord));
              }
              boolean alone = directory.liveCount(Clock.micros()) == 0;
              long interval = alone ? INTERVAL_MILLIS : INTERVAL_WITH_PEERS_MILLIS;
              long pause = failure == null ? interval : RETRY_MILLIS;
              loop.schedule(this::discover, pause, TimeUnit.MILLISECONDS);
            });
  }

  private void onRecord(StoreRecord record) {
    if (record.key().equals(settings.instance()) || record.value().isEmpty()) {
      return;
    }
    String address = new String(record.value().get(), StandardCharsets.UTF_8);
    long now = Clock.micros();
    if (!directory.isLive(record.key(), now)) {
      directory.probe(SettingsDecoder.address(address), now);
    }
  }
}
