package org.kumquatplank.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.kumquatplank.link.proto.Ack;
import org.kumquatplank.link.proto.Digest;
import org.kumquatplank.link.proto.Frame;

class PeerLinkTest {
  private static final int CONNECT_ATTEMPTS = 300;

  private final AtomicInteger handledFrames = new AtomicInteger();

  private PeerLinks open(String name, String secret) {
    return PeerLinks.open(
        name,
        SharedSecret.of(secret),
        "127.0.0.1",
        0,
        (peer, frame) -> {
          handledFrames.incrementAndGet();
          return Frame.newBuilder().setAck(Ack.newBuilder().setDone(true));
        });
  }

  private static Optional<Frame> connectAndRequest(PeerLinks from, PeerLinks to, String toName) {
    PeerAddress address = new PeerAddress(toName, "127.0.0.1", to.port());
    Frame.Builder digest = Frame.newBuilder().setDigest(Digest.newBuilder().setInstance("a"));
    for (int i = 0; i < CONNECT_ATTEMPTS; i++) {
      from.setPeers(List.of(address));
      if (from.connectedPeers().contains(toName)) {
        return from.request(toName, digest, Instant.now().plusSeconds(10));
      }
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return Optional.empty();
  }

  @Example
  void testPeersWithTheSameSecretExchangeRequests() {
    try (PeerLinks a = open("a", "secret-of-all");
        PeerLinks b = open("b", "secret-of-all")) {
      assertThat(connectAndRequest(a, b, "b").orElseThrow().getAck().getDone()).isTrue();
    }
  }

  @Example
  void testPeerWithoutTheSecretReachesNoHandler() {
    try (PeerLinks a = open("a", "another-secret");
        PeerLinks b = open("b", "secret-of-all")) {
      assertThat(connectAndRequest(a, b, "b")).isEmpty();
      assertThat(handledFrames.get()).isZero();
    }
  }

  @Example
  void testPeerWithAnotherIdentityIsRejected() {
    try (PeerLinks a = open("a", "secret-of-all");
        PeerLinks b = open("b", "secret-of-all")) {
      assertThat(connectAndRequest(a, b, "somebody-else")).isEmpty();
    }
  }
}
