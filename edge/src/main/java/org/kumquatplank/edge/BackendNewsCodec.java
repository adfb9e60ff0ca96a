package org.kumquatplank.edge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.kumquatplank.core.dispatch.LeavingServer;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.link.proto.EdgeLoad;
import org.kumquatplank.link.proto.LeavingBackend;

/** Encodes and decodes in digests the load of backend servers, and which of them leave. */
final class BackendNewsCodec {
  private BackendNewsCodec() {}

  static void addLoads(EdgeDigest.Builder digest, Collection<PeerLoad> loads) {
    for (PeerLoad load : loads) {
      digest.addLoads(
          EdgeLoad.newBuilder()
              .setBackend(load.backendId())
              .setRequests(load.inFlightRequests())
              .setUnreadTokens(load.pendingPrefillTokens())
              .setSuspect(load.suspect()));
    }
  }

  static List<PeerLoad> loads(EdgeDigest digest) {
    List<PeerLoad> loads = new ArrayList<>(digest.getLoadsCount());
    for (EdgeLoad load : digest.getLoadsList()) {
      loads.add(
          new PeerLoad(
              load.getBackend(), load.getRequests(), load.getUnreadTokens(), load.getSuspect()));
    }
    return loads;
  }

  static void addLeaving(EdgeDigest.Builder digest, Collection<LeavingServer> leaving) {
    for (LeavingServer server : leaving) {
      digest.addLeavingBackends(
          LeavingBackend.newBuilder()
              .setBackend(server.id())
              .setStartedMillis(server.startedMillis()));
    }
  }

  static List<LeavingServer> leaving(EdgeDigest digest) {
    List<LeavingServer> leaving = new ArrayList<>(digest.getLeavingBackendsCount());
    for (LeavingBackend server : digest.getLeavingBackendsList()) {
      leaving.add(new LeavingServer(server.getBackend(), server.getStartedMillis()));
    }
    return leaving;
  }
}
