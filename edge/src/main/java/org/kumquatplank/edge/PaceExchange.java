package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kumquatplank.core.membership.LivenessTable;
import org.kumquatplank.core.pace.PaceReport;
import org.kumquatplank.link.proto.BackendPace;
import org.kumquatplank.link.proto.EdgeDigest;

/**
 * The pace of backend servers in the digests between instances.
 *
 * <p>A digest contains a few servers only, which take turns, and only what the sender itself has
 * observed. Confined to the control thread.
 */
final class PaceExchange {
  /** Servers in one digest: about 200 bytes. */
  private static final int MAX_REPORTS = 8;

  private final Map<String, List<PaceReport>> received = new HashMap<>();
  private int round;

  /** Adds some of the reports of this instance to a digest. */
  void addTo(EdgeDigest.Builder digest, List<PaceReport> own) {
    round++;
    for (PaceReport report : LivenessTable.rotate(own, MAX_REPORTS, round)) {
      digest.addPaces(
          BackendPace.newBuilder()
              .setBackend(report.backendId())
              .setStartedMillis(report.startedMillis())
              .setSlowdownPercent(report.slowdownPercent())
              .setConcurrencyLimit(report.concurrencyLimit())
              .setSamples(report.samples()));
    }
  }

  /** Keeps the reports of a peer until they are taken. */
  void onDigest(EdgeDigest digest) {
    List<PaceReport> reports = new ArrayList<>();
    int count = Math.min(MAX_REPORTS, digest.getPacesCount());
    for (BackendPace pace : digest.getPacesList().subList(0, count)) {
      reports.add(
          new PaceReport(
              pace.getBackend(),
              pace.getStartedMillis(),
              pace.getSlowdownPercent(),
              pace.getConcurrencyLimit(),
              pace.getSamples()));
    }
    if (!reports.isEmpty()) {
      received.put(digest.getInstance(), reports);
    }
  }

  /** Returns the reports received since the last call, by instance. */
  Map<String, List<PaceReport>> takeReceived() {
    Map<String, List<PaceReport>> taken = Map.copyOf(received);
    received.clear();
    return taken;
  }
}
