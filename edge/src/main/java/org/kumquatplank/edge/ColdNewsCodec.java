package org.kumquatplank.edge;

import java.util.Collection;
import java.util.List;
import org.kumquatplank.core.placement.ColdNews;
import org.kumquatplank.link.proto.ColdBackend;
import org.kumquatplank.link.proto.EdgeDigest;

/** Encodes and decodes cold backend servers in digests; times are sent as the time left. */
final class ColdNewsCodec {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Limit on the servers in one digest; with more of them, each digest names others. */
  private static final int MAX_SERVERS = 16;

  private ColdNewsCodec() {}

  static void addTo(EdgeDigest.Builder digest, List<ColdNews> cold, long now) {
    int count = Math.min(MAX_SERVERS, cold.size());
    int first = cold.size() > MAX_SERVERS ? (int) (now / MICROS_PER_MILLI % cold.size()) : 0;
    for (int i = 0; i < count; i++) {
      ColdNews server = cold.get((first + i) % cold.size());
      if (server.coldUntil() > now) {
        digest.addColdBackends(
            ColdBackend.newBuilder()
                .setBackend(server.id())
                .setStartedMillis(server.startedMillis())
                .setRemainingMillis((int) ((server.coldUntil() - now) / MICROS_PER_MILLI)));
      }
    }
  }

  static void decode(List<ColdBackend> backends, long now, Collection<ColdNews> into) {
    for (ColdBackend backend : backends) {
      long remainingMillis = Integer.toUnsignedLong(backend.getRemainingMillis());
      into.add(
          new ColdNews(
              backend.getBackend(),
              backend.getStartedMillis(),
              now + remainingMillis * MICROS_PER_MILLI));
    }
  }
}
