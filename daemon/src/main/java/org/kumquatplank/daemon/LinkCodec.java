package org.kumquatplank.daemon;

import java.time.Instant;
import java.util.Optional;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.claims.ClaimDecision;
import org.kumquatplank.core.claims.ClaimEntry;
import org.kumquatplank.core.claims.ClaimKey;
import org.kumquatplank.core.claims.Outcome;
import org.kumquatplank.link.proto.Answered;
import org.kumquatplank.link.proto.BillRecord;
import org.kumquatplank.link.proto.Claim;
import org.kumquatplank.link.proto.ClaimReply;

/** Converts between core types and the protobuf messages of the peer link. Thread-safe. */
final class LinkCodec {
  private LinkCodec() {}

  static Claim toProto(ClaimEntry.Claimed claim) {
    return Claim.newBuilder()
        .setAccount(claim.key().account())
        .setKey(claim.key().key())
        .setFingerprint(claim.fingerprint())
        .setNonce(claim.nonce())
        .setHolder(claim.holder())
        .build();
  }

  static ClaimEntry.Claimed fromProto(Claim claim) {
    return new ClaimEntry.Claimed(
        new ClaimKey(claim.getAccount(), claim.getKey()),
        claim.getFingerprint(),
        claim.getNonce(),
        claim.getHolder());
  }

  static Claim toProto(ClaimEntry.Settled settled) {
    return Claim.newBuilder()
        .setAccount(settled.key().account())
        .setKey(settled.key().key())
        .setFingerprint(settled.fingerprint())
        .setNonce(settled.nonce())
        .build();
  }

  static org.kumquatplank.link.proto.Outcome toProto(Outcome outcome) {
    var builder = org.kumquatplank.link.proto.Outcome.newBuilder();
    switch (outcome) {
      case Outcome.Answered(int status, String contentType, String body) ->
          builder.setAnswered(
              Answered.newBuilder().setStatus(status).setContentType(contentType).setBody(body));
      case Outcome.Lost(String reason) -> builder.setLost(reason);
      case Outcome.NotSent(String reason) -> builder.setNotSent(reason);
    }
    return builder.build();
  }

  static Optional<Outcome> fromProto(org.kumquatplank.link.proto.Outcome outcome) {
    return switch (outcome.getKindCase()) {
      case ANSWERED -> {
        Answered a = outcome.getAnswered();
        yield Optional.of(new Outcome.Answered(a.getStatus(), a.getContentType(), a.getBody()));
      }
      case LOST -> Optional.of(new Outcome.Lost(outcome.getLost()));
      case NOT_SENT -> Optional.of(new Outcome.NotSent(outcome.getNotSent()));
      case KIND_NOT_SET -> Optional.empty();
    };
  }

  static ClaimReply toProto(ClaimDecision decision) {
    ClaimReply.Builder builder = ClaimReply.newBuilder();
    switch (decision) {
      case ClaimDecision.Granted() -> builder.setWon(true);
      case ClaimDecision.AlreadyEnded(Outcome outcome) -> builder.setEnded(toProto(outcome));
      case ClaimDecision.HeldByOther(String holder) -> builder.setHeldBy(holder);
      case ClaimDecision.KeyReused() -> builder.setReused(true);
      case ClaimDecision.Unavailable(String reason, boolean neverClaimed) ->
          builder.setUnavailable(reason);
    }
    return builder.build();
  }

  static Optional<ClaimDecision> fromProto(ClaimReply reply) {
    return switch (reply.getDecisionCase()) {
      case WON -> Optional.of(new ClaimDecision.Granted());
      case ENDED -> fromProto(reply.getEnded()).map(ClaimDecision.AlreadyEnded::new);
      case HELD_BY -> Optional.of(new ClaimDecision.HeldByOther(reply.getHeldBy()));
      case REUSED -> Optional.of(new ClaimDecision.KeyReused());
      case UNAVAILABLE -> Optional.of(new ClaimDecision.Unavailable(reply.getUnavailable(), false));
      case DECISION_NOT_SET -> Optional.empty();
    };
  }

  static BillRecord toProto(Bill bill) {
    return BillRecord.newBuilder()
        .setId(bill.id())
        .setAccount(bill.account())
        .setWorkClass(bill.workClass())
        .setVersion(bill.version())
        .setPromptTokens(bill.promptTokens())
        .setCompletionTokens(bill.completionTokens())
        .setCostMicros(bill.costMicros())
        .setEnding(bill.ending().name())
        .build();
  }

  static Bill fromProto(BillRecord record) {
    return new Bill(
        record.getId(),
        record.getAccount(),
        record.getWorkClass(),
        record.getVersion(),
        record.getPromptTokens(),
        record.getCompletionTokens(),
        record.getCostMicros(),
        Bill.Ending.valueOf(record.getEnding()));
  }

  /** Returns the time until a deadline in milliseconds, at least 1. */
  static long remainingMillis(Instant deadline) {
    return Math.max(1, deadline.toEpochMilli() - System.currentTimeMillis());
  }

  /**
   * Returns the local deadline for a timeout that a peer sent.
   *
   * <p>Peers send timeouts rather than deadlines because the clocks of two hosts may differ.
   */
  static Instant localDeadline(long timeoutMillis) {
    return Instant.now().plusMillis(timeoutMillis);
  }
}
