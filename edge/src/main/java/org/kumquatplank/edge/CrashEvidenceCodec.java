package org.kumquatplank.edge;

import java.util.Set;
import java.util.TreeSet;
import org.kumquatplank.core.dispatch.CrashEvidence;
import org.kumquatplank.link.proto.BackendCrash;
import org.kumquatplank.link.proto.BlockedSegment;
import org.kumquatplank.link.proto.SegmentResponse;
import org.kumquatplank.link.proto.SuspectSegment;

/**
 * Encodes evidence of crashes for peers.
 *
 * <p>Times are sent as ages, since each instance has a clock of its own.
 */
final class CrashEvidenceCodec {
  private static final long MICROS_PER_MILLI = 1_000;

  private CrashEvidenceCodec() {}

  static org.kumquatplank.link.proto.CrashEvidence encode(CrashEvidence evidence, long now) {
    org.kumquatplank.link.proto.CrashEvidence.Builder builder =
        org.kumquatplank.link.proto.CrashEvidence.newBuilder();
    for (CrashEvidence.Crash crash : evidence.crashes()) {
      builder.addCrashes(encode(crash, now));
    }
    for (CrashEvidence.BlockedSegment block : evidence.blocks()) {
      builder.addBlockedSegments(
          BlockedSegment.newBuilder()
              .setId(block.id())
              .setCrashAgeMillis(millisBetween(block.crashedAt(), now))
              .setTrials(block.trials())
              .setMillisUntilTrial(millisBetween(now, block.nextTrialAt())));
    }
    for (CrashEvidence.Response response : evidence.responses()) {
      builder.addResponses(
          SegmentResponse.newBuilder()
              .setSegment(response.segment())
              .setAgeMillis(millisBetween(response.at(), now)));
    }
    return builder.build();
  }

  private static BackendCrash.Builder encode(CrashEvidence.Crash crash, long now) {
    BackendCrash.Builder builder =
        BackendCrash.newBuilder()
            .setBackend(crash.backend())
            .setAgeMillis(millisBetween(crash.at(), now));
    for (CrashEvidence.SuspectSegment suspect : crash.suspects()) {
      builder.addSuspects(
          SuspectSegment.newBuilder()
              .setId(suspect.id())
              .setDepth(suspect.depth())
              .addAllRequests(suspect.requests()));
    }
    return builder;
  }

  private static long millisBetween(long from, long to) {
    return Math.max(0, (to - from) / MICROS_PER_MILLI);
  }

  static CrashEvidence decode(org.kumquatplank.link.proto.CrashEvidence evidence, long now) {
    return new CrashEvidence(
        evidence.getCrashesList().stream().map(c -> decode(c, now)).toList(),
        evidence.getBlockedSegmentsList().stream()
            .map(
                b ->
                    new CrashEvidence.BlockedSegment(
                        b.getId(),
                        now - b.getCrashAgeMillis() * MICROS_PER_MILLI,
                        b.getTrials(),
                        now + b.getMillisUntilTrial() * MICROS_PER_MILLI))
            .toList(),
        evidence.getResponsesList().stream()
            .map(
                r ->
                    new CrashEvidence.Response(
                        r.getSegment(), now - r.getAgeMillis() * MICROS_PER_MILLI))
            .toList());
  }

  private static CrashEvidence.Crash decode(BackendCrash crash, long now) {
    return new CrashEvidence.Crash(
        crash.getBackend(),
        now - crash.getAgeMillis() * MICROS_PER_MILLI,
        crash.getSuspectsList().stream()
            .map(
                s -> {
                  Set<Integer> requests = new TreeSet<>(s.getRequestsList());
                  return new CrashEvidence.SuspectSegment(s.getId(), s.getDepth(), requests);
                })
            .toList());
  }
}
