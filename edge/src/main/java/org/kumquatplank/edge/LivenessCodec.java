package org.kumquatplank.edge;

import com.google.protobuf.ByteString;
import org.kumquatplank.core.membership.LivenessReport;
import org.kumquatplank.link.proto.PeerLiveness;

/** Encodes and decodes what digests tell of the liveness of other instances. */
final class LivenessCodec {
  private LivenessCodec() {}

  static PeerLiveness encode(LivenessReport report) {
    PeerLiveness.Builder peers = PeerLiveness.newBuilder();
    byte[] ages = new byte[report.size()];
    for (int i = 0; i < report.size(); i++) {
      peers.addProcesses(report.fingerprint(i));
      ages[i] = report.encodedAge(i);
    }
    return peers.setAges(ByteString.copyFrom(ages)).build();
  }

  /** Returns the report; entries without an age are left out. */
  static LivenessReport decode(PeerLiveness peers) {
    int count = Math.min(peers.getProcessesCount(), peers.getAges().size());
    LivenessReport report = LivenessReport.create(count);
    for (int i = 0; i < count; i++) {
      report.addEncoded(peers.getProcesses(i), peers.getAges().byteAt(i));
    }
    return report;
  }
}
