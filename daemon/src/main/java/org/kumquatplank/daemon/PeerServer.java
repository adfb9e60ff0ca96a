package org.kumquatplank.daemon;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.claims.ClaimEntry;
import org.kumquatplank.core.claims.ClaimKey;
import org.kumquatplank.core.claims.ClaimStore;
import org.kumquatplank.core.claims.Outcome;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.routing.PeerLoad;
import org.kumquatplank.link.PeerHandler;
import org.kumquatplank.link.proto.Ack;
import org.kumquatplank.link.proto.ClaimRequest;
import org.kumquatplank.link.proto.ConfigState;
import org.kumquatplank.link.proto.Digest;
import org.kumquatplank.link.proto.FindReply;
import org.kumquatplank.link.proto.FindRequest;
import org.kumquatplank.link.proto.Frame;
import org.kumquatplank.link.proto.Load;
import org.kumquatplank.link.proto.Rating;
import org.kumquatplank.link.proto.SettleRequest;

/** Handles requests from peers. Thread-safe. */
final class PeerServer implements PeerHandler {
  private final String self;
  private final ControlThread controlThread;
  private final ControlState state;
  private final Freshness freshness;
  private final ClaimStore store;
  private final PendingBills pendingBills;
  private final BillTracker billTracker;
  private final BillBackups billBackups;
  private final RatingCollector ratingCollector;
  private final BooleanSupplier draining;

  PeerServer(
      String self,
      ControlThread controlThread,
      ControlState state,
      Freshness freshness,
      ClaimStore store,
      PendingBills pendingBills,
      BillTracker billTracker,
      BillBackups billBackups,
      RatingCollector ratingCollector,
      BooleanSupplier draining) {
    this.self = self;
    this.controlThread = controlThread;
    this.state = state;
    this.freshness = freshness;
    this.store = store;
    this.pendingBills = pendingBills;
    this.billTracker = billTracker;
    this.billBackups = billBackups;
    this.ratingCollector = ratingCollector;
    this.draining = draining;
  }

  @Override
  public Frame.Builder handle(String peer, Frame frame) {
    billBackups.recordHeard(peer);
    return switch (frame.getBodyCase()) {
      case DIGEST -> {
        recordDigest(peer, frame.getDigest());
        yield Frame.newBuilder().setDigest(digest());
      }
      case CONFIG_PULL -> Frame.newBuilder().setConfigState(configState());
      case CLAIM_REQUEST -> claim(frame.getClaimRequest());
      case SETTLE_REQUEST -> settle(frame.getSettleRequest());
      case FIND_REQUEST -> find(frame.getFindRequest());
      case BILL_OPEN -> {
        pendingBills.open(peer, LinkCodec.fromProto(frame.getBillOpen().getBill()));
        yield ack(true);
      }
      case BILL_CANCEL -> {
        pendingBills.cancel(peer, frame.getBillCancel().getId());
        yield ack(true);
      }
      case BILL_SETTLE -> {
        pendingBills.settle(peer, LinkCodec.fromProto(frame.getBillSettle().getBill()));
        yield ack(true);
      }
      case BILLS_WRITTEN -> {
        billTracker.confirmWritten(frame.getBillsWritten().getIdsList());
        yield ack(true);
      }
      case RATINGS -> {
        frame.getRatings().getRatingsList().forEach(this::addRating);
        yield ack(true);
      }
      default -> ack(false);
    };
  }

  private static Frame.Builder ack(boolean done) {
    return Frame.newBuilder().setAck(Ack.newBuilder().setDone(done));
  }

  /** Returns the digest of this instance that is sent to its peers. */
  Digest digest() {
    // The offset must cover the confirmation, so the confirmation is read first.
    long confirmationAgeMillis = confirmationAgeMillis();
    ControlSnapshot snapshot = state.snapshot();
    Digest.Builder digest =
        Digest.newBuilder()
            .setInstance(self)
            .setConfigVersion(snapshot.configuration().version())
            .setConfigNextOffset(snapshot.configNextOffset())
            .setProofAgeMillis(confirmationAgeMillis)
            .setLogReachable(freshness.logReachable())
            .setDraining(draining.getAsBoolean());
    digest.addAllSuspects(controlThread.call(state::ownSuspects));
    for (PeerLoad load : controlThread.call(() -> state.router().ownLoads())) {
      digest.addLoads(
          Load.newBuilder()
              .setBackend(load.backend())
              .setRequests(load.inFlight())
              .setLongRequests(load.longInFlight()));
    }
    return digest.build();
  }

  private long confirmationAgeMillis() {
    long nanos = freshness.confirmationAgeNanos();
    return nanos < 0 ? Long.MAX_VALUE : Math.ceilDiv(nanos, 1_000_000L);
  }

  /** Records the digest received from a peer. */
  void recordDigest(String peer, Digest received) {
    ControlState.PeerDigest digest =
        new ControlState.PeerDigest(
            received.getConfigVersion(),
            received.getDraining(),
            loads(received),
            List.copyOf(received.getSuspectsList()));
    controlThread.execute(() -> state.setPeerDigest(peer, digest));
  }

  private static List<PeerLoad> loads(Digest digest) {
    return digest.getLoadsList().stream()
        .map(l -> new PeerLoad(l.getBackend(), l.getRequests(), l.getLongRequests()))
        .toList();
  }

  private ConfigState configState() {
    ControlSnapshot snapshot = state.snapshot();
    if (!snapshot.configComplete()) {
      return ConfigState.getDefaultInstance();
    }
    ConfigEntry.Snapshot entry =
        new ConfigEntry.Snapshot(snapshot.configuration(), snapshot.configNextOffset());
    return ConfigState.newBuilder()
        .setNextOffset(snapshot.configNextOffset())
        .setSnapshot(ConfigCodec.toJson(entry))
        .build();
  }

  private Frame.Builder claim(ClaimRequest request) {
    var decision =
        store.claim(
            LinkCodec.fromProto(request.getClaim()),
            LinkCodec.localDeadline(request.getDeadlineMillis()));
    return Frame.newBuilder().setClaimReply(LinkCodec.toProto(decision));
  }

  private Frame.Builder settle(SettleRequest request) {
    ClaimEntry.Claimed claim = LinkCodec.fromProto(request.getClaim());
    Optional<Outcome> outcome = LinkCodec.fromProto(request.getOutcome());
    if (outcome.isEmpty()) {
      return ack(false);
    }
    ClaimEntry.Settled settled =
        new ClaimEntry.Settled(claim.key(), claim.fingerprint(), claim.nonce(), outcome.get());
    return ack(store.settle(settled, LinkCodec.localDeadline(request.getDeadlineMillis())));
  }

  private Frame.Builder find(FindRequest request) {
    ClaimKey key = new ClaimKey(request.getAccount(), request.getKey());
    FindReply.Builder reply = FindReply.newBuilder();
    store
        .find(key, LinkCodec.localDeadline(request.getDeadlineMillis()))
        .ifPresent(outcome -> reply.setOutcome(LinkCodec.toProto(outcome)));
    return Frame.newBuilder().setFindReply(reply);
  }

  private void addRating(Rating rating) {
    ratingCollector.add(rating.getWorkClass(), rating.getVersion(), rating.getValue());
  }
}
