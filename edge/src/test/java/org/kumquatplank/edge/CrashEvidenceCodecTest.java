package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.dispatch.CrashEvidence;

class CrashEvidenceCodecTest {
  private static final long SENT_AT = 90_000_000;

  /** The receiver's clock is 50 s behind. */
  private static final long RECEIVED_AT = 40_000_000;

  private static CrashEvidence evidence(long now) {
    return new CrashEvidence(
        List.of(
            new CrashEvidence.Crash(
                "i-1/17",
                now - 2_000_000,
                List.of(new CrashEvidence.SuspectSegment("5c1e", 1, Set.of(-7, 9))))),
        List.of(new CrashEvidence.BlockedSegment("91bd", now - 3_000_000, 2, now + 30_000_000)),
        List.of(new CrashEvidence.Response("e440", now - 250_000)));
  }

  @Example
  void testTimesAreConvertedToTheClockOfTheReceiver() {
    org.kumquatplank.link.proto.CrashEvidence sent =
        CrashEvidenceCodec.encode(evidence(SENT_AT), SENT_AT);
    assertThat(CrashEvidenceCodec.decode(sent, RECEIVED_AT)).isEqualTo(evidence(RECEIVED_AT));
  }
}
