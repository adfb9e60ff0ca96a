package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.kumquatplank.core.claims.ClaimDecision;
import org.kumquatplank.core.claims.ClaimEntry;
import org.kumquatplank.core.claims.ClaimKey;
import org.kumquatplank.core.claims.ClaimStore;
import org.kumquatplank.core.claims.Outcome;
import org.kumquatplank.core.membership.RendezvousHashing;
import org.kumquatplank.core.time.Deadlines;
import org.kumquatplank.link.PeerLinks;
import org.kumquatplank.link.proto.ClaimRequest;
import org.kumquatplank.link.proto.FindRequest;
import org.kumquatplank.link.proto.Frame;
import org.kumquatplank.link.proto.SettleRequest;

/**
 * Sends claims to the instance that owns their partition and batches its appends.
 *
 * <p>Ownership only saves appends. If the owner does not respond, this instance appends the claim
 * to the log itself with the same nonce, and the log order decides which claim wins. Thread-safe.
 */
final class ClaimRouter implements ClaimStore {
  private static final Duration OWNER_TIMEOUT = Duration.ofMillis(700);

  private final ClaimStore store;
  private final PeerLinks link;
  private final int partitions;
  private final String self;
  private final Supplier<List<String>> entries;

  ClaimRouter(
      ClaimStore store,
      PeerLinks link,
      int partitions,
      String self,
      Supplier<List<String>> entries) {
    this.store = store;
    this.link = link;
    this.partitions = partitions;
    this.self = self;
    this.entries = entries;
  }

  /** Returns the peer that owns the key's partition, or empty if no peer owns it. */
  private Optional<String> remoteOwner(ClaimKey key) {
    List<String> candidates = entries.get();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    String owner = RendezvousHashing.rank("claims-" + key.partition(partitions), candidates).get(0);
    return owner.equals(self) ? Optional.empty() : Optional.of(owner);
  }

  private Optional<Frame> requestFromOwner(ClaimKey key, Frame.Builder request, Instant deadline) {
    Instant ownerDeadline = Deadlines.earlier(deadline, Instant.now().plus(OWNER_TIMEOUT));
    return remoteOwner(key).flatMap(owner -> link.request(owner, request, ownerDeadline));
  }

  @Override
  public ClaimDecision claim(ClaimEntry.Claimed claim, Instant deadline) {
    ClaimRequest request =
        ClaimRequest.newBuilder()
            .setClaim(LinkCodec.toProto(claim))
            .setDeadlineMillis(OWNER_TIMEOUT.toMillis())
            .build();
    return requestFromOwner(claim.key(), Frame.newBuilder().setClaimRequest(request), deadline)
        .flatMap(reply -> LinkCodec.fromProto(reply.getClaimReply()))
        .filter(decision -> !(decision instanceof ClaimDecision.Unavailable))
        .orElseGet(() -> store.claim(claim, deadline));
  }

  @Override
  public boolean settle(ClaimEntry.Settled settled, Instant deadline) {
    SettleRequest request =
        SettleRequest.newBuilder()
            .setClaim(LinkCodec.toProto(settled))
            .setOutcome(LinkCodec.toProto(settled.outcome()))
            .setDeadlineMillis(LinkCodec.remainingMillis(deadline))
            .build();
    boolean settledByOwner =
        requestFromOwner(settled.key(), Frame.newBuilder().setSettleRequest(request), deadline)
            .map(reply -> reply.getAck().getDone())
            .orElse(false);
    return settledByOwner || store.settle(settled, deadline);
  }

  @Override
  public Optional<Outcome> find(ClaimKey key, Instant deadline) {
    FindRequest request =
        FindRequest.newBuilder()
            .setAccount(key.account())
            .setKey(key.key())
            .setDeadlineMillis(LinkCodec.remainingMillis(deadline))
            .build();
    Optional<Frame> reply =
        requestFromOwner(key, Frame.newBuilder().setFindRequest(request), deadline);
    return reply.isPresent()
        ? LinkCodec.fromProto(reply.get().getFindReply().getOutcome())
        : store.find(key, deadline);
  }
}
