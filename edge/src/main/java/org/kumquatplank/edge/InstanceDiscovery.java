package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kumquatplank.core.membership.Representatives;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.platform.store.StoreClient;
import org.kumquatplank.platform.store.StoreRecord;
import org.kumquatplank.platform.wire.EdgeSettings;
import org.kumquatplank.platform.wire.SettingsDecoder;

/**
 * Finds other instances through the store where the seeds and the digests of peers don't suffice.
 *
 * <p>An instance without peers, and the representatives of each failure domain, register in the
 * store and list the registrations from time to time. All others learn of new instances by digest
 * and make no call. Confined to the control thread.
 */
final class InstanceDiscovery {
  private static final String TOPIC = "instances";

  /** Time after the start in which the seeds and their peers respond. */
  private static final long FIRST_CHECK_MILLIS = 1_000;

  private static final long CHECK_MILLIS = 5_000;
  private static final long ALONE_INTERVAL_MICROS = 15_000_000;

  /**
   * Interval of the representatives, which joins groups of instances that don't know each other.
   */
  private static final long INTERVAL_WITH_PEERS_MICROS = 60_000_000;

  private static final long RETRY_MILLIS = 500;

  private final EdgeSettings settings;
  private final EventLoop loop;
  private final StoreClient store;
  private final PeerDirectory directory;
  private boolean registered;
  private long lastListedAt = Long.MIN_VALUE / 2;

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

  /** Starts to check whether this instance has to use the store. */
  void start() {
    schedule(FIRST_CHECK_MILLIS);
  }

  /** Registers again at the next check, as the store may have lost the registration. */
  void onStoreRestored() {
    registered = false;
  }

  private void schedule(long millis) {
    loop.schedule(this::check, millis, TimeUnit.MILLISECONDS);
  }

  private void check() {
    long now = Clock.micros();
    List<EdgeDigest> live = directory.live(now).stream().map(PeerDirectory.Peer::digest).toList();
    boolean isRepresentative =
        Representatives.isOneOf(
            settings.instance(),
            live.stream()
                .filter(d -> d.getZone().equals(settings.zone()))
                .map(EdgeDigest::getInstance)
                .toList());
    long interval = live.isEmpty() ? ALONE_INTERVAL_MICROS : INTERVAL_WITH_PEERS_MICROS;
    if (!live.isEmpty() && !isRepresentative) {
      schedule(CHECK_MILLIS);
    } else if (!registered) {
      register();
    } else if (now - lastListedAt >= interval) {
      list();
    } else {
      schedule(CHECK_MILLIS);
    }
  }

  private void register() {
    byte[] value = peerAddress(settings).getBytes(StandardCharsets.UTF_8);
    store
        .put(TOPIC, settings.instance(), value, Optional.empty())
        .whenComplete(
            (position, failure) -> {
              registered = failure == null;
              if (registered) {
                list();
              } else {
                schedule(RETRY_MILLIS);
              }
            });
  }

  private void list() {
    store
        .readNewest(TOPIC)
        .whenComplete(
            (page, failure) -> {
              if (failure == null) {
                lastListedAt = Clock.micros();
                page.records().forEach(r -> StoreFollower.applyOrLog(r, this::onRecord));
              }
              schedule(failure == null ? CHECK_MILLIS : RETRY_MILLIS);
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
