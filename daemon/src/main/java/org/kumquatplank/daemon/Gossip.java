package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.link.PeerAddress;
import org.kumquatplank.link.PeerLinks;
import org.kumquatplank.link.proto.ConfigPull;
import org.kumquatplank.link.proto.Digest;
import org.kumquatplank.link.proto.Frame;

/**
 * Exchanges digests with the peers: loads, freshness and configuration versions.
 *
 * <p>An instance that learns of a newer configuration fetches it from the peer instead of reading
 * the log again, so that a change crosses the link between regions once per instance that lacks it.
 */
final class Gossip {
  private static final Duration DIGEST_TIMEOUT = Duration.ofMillis(1_000);
  private static final Duration PULL_TIMEOUT = Duration.ofMillis(1_500);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String self;
  private final PeerLinks link;
  private final PeerServer peerServer;
  private final ControlThread controlThread;
  private final ControlState state;
  private final Freshness freshness;
  private final LongSupplier nanoTime;
  private final ExecutorService executor;

  Gossip(
      String self,
      PeerLinks link,
      PeerServer peerServer,
      ControlThread controlThread,
      ControlState state,
      Freshness freshness,
      LongSupplier nanoTime,
      ExecutorService executor) {
    this.self = self;
    this.link = link;
    this.peerServer = peerServer;
    this.controlThread = controlThread;
    this.state = state;
    this.freshness = freshness;
    this.nanoTime = nanoTime;
    this.executor = executor;
  }

  /** Exchanges one digest with each connected peer. */
  void exchangeDigests() {
    List<PeerAddress> peers =
        state.snapshot().instances().entries().stream()
            .filter(e -> !e.id().equals(self))
            .map(Gossip::addressOf)
            .toList();
    link.setPeers(peers);
    Digest digest = peerServer.digest();
    for (String peer : link.connectedPeers()) {
      executor.execute(() -> exchangeWith(peer, digest));
    }
  }

  private static PeerAddress addressOf(ListedInstance entry) {
    return new PeerAddress(entry.id(), entry.host(), entry.peerPort());
  }

  private void exchangeWith(String peer, Digest digest) {
    long requestedAt = nanoTime.getAsLong();
    Frame.Builder request = Frame.newBuilder().setDigest(digest);
    Optional<Frame> reply = link.request(peer, request, Instant.now().plus(DIGEST_TIMEOUT));
    if (reply.isEmpty()) {
      link.disconnect(peer);
      return;
    }
    Digest peerDigest = reply.get().getDigest();
    long ownOffset = state.snapshot().configNextOffset();
    freshness.recordPeerReport(
        peer,
        requestedAt,
        confirmationAgeNanos(peerDigest),
        peerDigest.getLogReachable(),
        peerDigest.getConfigNextOffset() <= ownOffset && state.snapshot().configComplete());
    peerServer.recordDigest(peer, peerDigest);
    boolean isBehind =
        peerDigest.getConfigNextOffset() > ownOffset || !state.snapshot().configComplete();
    if (isBehind) {
      pullConfiguration(peer);
    }
  }

  private static long confirmationAgeNanos(Digest digest) {
    long millis = digest.getProofAgeMillis();
    return millis == Long.MAX_VALUE ? -1 : millis * NANOS_PER_MILLI;
  }

  private void pullConfiguration(String peer) {
    Frame.Builder request = Frame.newBuilder().setConfigPull(ConfigPull.getDefaultInstance());
    Optional<ConfigEntry.Snapshot> snapshot =
        link.request(peer, request, Instant.now().plus(PULL_TIMEOUT))
            .flatMap(reply -> ConfigCodec.fromJson(reply.getConfigState().getSnapshot()))
            .filter(ConfigEntry.Snapshot.class::isInstance)
            .map(ConfigEntry.Snapshot.class::cast);
    snapshot.ifPresent(s -> controlThread.execute(() -> state.adoptSnapshot(s)));
  }
}
