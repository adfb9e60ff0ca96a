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
import org.kumquatplank.link.LinkSecret;
import org.kumquatplank.link.PeerAddress;
import org.kumquatplank.link.PeerLink;
import org.kumquatplank.link.proto.Frame;

class ClaimRouterTest {
  private static final int CONNECT_TRIES = 300;

  private final FirstWins store = new FirstWins();

  /** A claim store in memory that keeps the first claim of each key. */
  private static final class FirstWins implements ClaimStore {
    private final Map<ClaimKey, String> winners = new HashMap<>();

    @Override
    public synchronized ClaimDecision claim(ClaimEntry.Claimed claim, Instant deadline) {
      String winner = winners.computeIfAbsent(claim.key(), k -> claim.nonce());
      return winner.equals(claim.nonce())
          ? new ClaimDecision.Won()
          : new ClaimDecision.Held("another");
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

  private static PeerLink open(String name, org.kumquatplank.link.PeerHandler handler) {
    return PeerLink.open(name, LinkSecret.of("secret-of-all"), "127.0.0.1", 0, handler);
  }

  private static void connect(PeerLink from, PeerLink to, String name) {
    for (int i = 0; i < CONNECT_TRIES && !from.connected().contains(name); i++) {
      from.keep(List.of(new PeerAddress(name, "127.0.0.1", to.port())));
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    assertThat(from.connected()).contains(name);
  }

  private ClaimDecision claimThrough(PeerLink link, String nonce) {
    ClaimRouter claims =
        new ClaimRouter(store, link, 16, "self", () -> List.of("owner"));
    ClaimEntry.Claimed claim = new ClaimEntry.Claimed(new ClaimKey("hq", "k"), "f", nonce, "self");
    return claims.claim(claim, Instant.now().plusSeconds(5));
  }

  @Example
  void testOwnerThatTakesTheClaimAndLosesItsReplyDoesNotLoseTheCall() {
    try (PeerLink self = open("self", (p, f) -> Frame.newBuilder());
        PeerLink owner = open("owner", this::claimAndFail)) {
      connect(self, owner, "owner");
      assertThat(claimThrough(self, "a")).isEqualTo(new ClaimDecision.Won());
      assertThat(claimThrough(self, "b")).isEqualTo(new ClaimDecision.Held("another"));
    }
  }

  private Frame.Builder claimAndFail(String peer, Frame frame) {
    store.claim(LinkCodec.fromProto(frame.getClaimRequest().getClaim()), Instant.MAX);
    throw new IllegalStateException("the reply is lost on purpose");
  }

  @Example
  void testClaimGoesToTheLogWhereTheOwnerIsCutOff() {
    try (PeerLink self = open("self", (p, f) -> Frame.newBuilder())) {
      assertThat(claimThrough(self, "a")).isEqualTo(new ClaimDecision.Won());
    }
  }
}
