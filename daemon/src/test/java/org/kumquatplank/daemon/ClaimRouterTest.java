package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.claims.ClaimDecision;
import org.kumquatplank.core.claims.ClaimEntry;
import org.kumquatplank.core.claims.ClaimKey;
import org.kumquatplank.core.claims.ClaimStore;
import org.kumquatplank.core.claims.Outcome;
import org.kumquatplank.link.PeerAddress;
import org.kumquatplank.link.PeerLinks;
import org.kumquatplank.link.SharedSecret;
import org.kumquatplank.link.proto.Frame;

/** Tests the fallback to the log when the owner of a partition fails. */
class ClaimRouterTest {
  private static final int MAX_CONNECT_ATTEMPTS = 300;

  private final InMemoryClaimStore store = new InMemoryClaimStore();

  /** In-memory claim store in which the first claim of each key wins. */
  private static final class InMemoryClaimStore implements ClaimStore {
    private final Map<ClaimKey, String> winners = new HashMap<>();

    @Override
    public synchronized ClaimDecision claim(ClaimEntry.Claimed claim, Instant deadline) {
      String winner = winners.computeIfAbsent(claim.key(), k -> claim.nonce());
      return winner.equals(claim.nonce())
          ? new ClaimDecision.Granted()
          : new ClaimDecision.HeldByOther("another");
    }

    @Override
    public boolean settle(ClaimEntry.Settled settled, Instant deadline) {
      return true;
    }

    @Override
    public Optional<Outcome> find(ClaimKey key, Instant deadline) {
      return Optional.empty();
    }
  }

  private static PeerLinks open(String name, org.kumquatplank.link.PeerHandler handler) {
    return PeerLinks.open(name, SharedSecret.of("secret-of-all"), "127.0.0.1", 0, handler);
  }

  private static void connect(PeerLinks from, PeerLinks to, String name) {
    for (int i = 0; i < MAX_CONNECT_ATTEMPTS && !from.connectedPeers().contains(name); i++) {
      from.setPeers(List.of(new PeerAddress(name, "127.0.0.1", to.port())));
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    assertThat(from.connectedPeers()).contains(name);
  }

  private ClaimDecision claimVia(PeerLinks link, String nonce) {
    ClaimRouter claims = new ClaimRouter(store, link, 16, "self", () -> List.of("owner"));
    ClaimEntry.Claimed claim = new ClaimEntry.Claimed(new ClaimKey("hq", "k"), "f", nonce, "self");
    return claims.claim(claim, Instant.now().plusSeconds(5));
  }

  @Example
  void testClaimSucceedsWhenOwnerStoresItButReplyIsLost() {
    try (PeerLinks self = open("self", (p, f) -> Frame.newBuilder());
        PeerLinks owner = open("owner", this::storeClaimAndFail)) {
      connect(self, owner, "owner");
      assertThat(claimVia(self, "a")).isEqualTo(new ClaimDecision.Granted());
      assertThat(claimVia(self, "b")).isEqualTo(new ClaimDecision.HeldByOther("another"));
    }
  }

  private Frame.Builder storeClaimAndFail(String peer, Frame frame) {
    store.claim(LinkCodec.fromProto(frame.getClaimRequest().getClaim()), Instant.MAX);
    throw new IllegalStateException("reply lost on purpose");
  }

  @Example
  void testClaimFallsBackToLogWhenOwnerIsUnreachable() {
    try (PeerLinks self = open("self", (p, f) -> Frame.newBuilder())) {
      assertThat(claimVia(self, "a")).isEqualTo(new ClaimDecision.Granted());
    }
  }
}
