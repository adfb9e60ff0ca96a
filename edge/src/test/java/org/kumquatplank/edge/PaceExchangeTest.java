package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.kumquatplank.core.pace.PaceReport;
import org.kumquatplank.link.proto.BackendPace;
import org.kumquatplank.link.proto.EdgeDigest;

class PaceExchangeTest {
  private final PaceExchange exchange = new PaceExchange();

  private static PaceReport report(int index) {
    return new PaceReport("s" + index, 1_700_000_000_000L, 210, 6, 3);
  }

  @Example
  void testDigestNamesFewServersThatTakeTurns() {
    List<PaceReport> own = IntStream.range(0, 20).mapToObj(PaceExchangeTest::report).toList();
    Set<String> named = new HashSet<>();
    for (int round = 0; round < 3; round++) {
      EdgeDigest.Builder digest = EdgeDigest.newBuilder();
      exchange.addTo(digest, own);
      assertThat(digest.getPacesCount()).isEqualTo(8);
      assertThat(digest.build().getSerializedSize()).isLessThan(200);
      digest.getPacesList().forEach(pace -> named.add(pace.getBackend()));
    }
    assertThat(named).hasSize(20);
  }

  @Example
  void testReportsOfPeersArriveUnchangedAndAreTakenOnce() {
    EdgeDigest.Builder digest = EdgeDigest.newBuilder().setInstance("i1");
    exchange.addTo(digest, List.of(report(1)));
    exchange.onDigest(digest.build());
    assertThat(exchange.takeReceived()).isEqualTo(Map.of("i1", List.of(report(1))));
    assertThat(exchange.takeReceived()).isEmpty();
  }

  @Example
  void testDigestWithManyReportsIsCutOff() {
    EdgeDigest.Builder digest = EdgeDigest.newBuilder().setInstance("i1");
    for (int i = 0; i < 1_000; i++) {
      digest.addPaces(BackendPace.newBuilder().setBackend("s" + i));
    }
    exchange.onDigest(digest.build());
    assertThat(exchange.takeReceived().get("i1")).hasSize(8);
  }
}
