package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.link.proto.EdgeDigest;

class CatalogStateTest {
  private static final long SECOND = 1_000_000;
  private static final LogPosition END = LogPosition.of(2, 7);

  private final CatalogState state = CatalogState.create("m");

  private static byte[] catalog(int version) {
    String text = "{\"version\":" + version + ",\"routes\":[],\"services\":[],\"limits\":{}}";
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static EdgeDigest digest(String instance, long version, LogPosition position) {
    return EdgeDigest.newBuilder()
        .setInstance(instance)
        .setCatalogVersion(version)
        .setOperatorEra(position.era())
        .setOperatorOffset(position.offset())
        .build();
  }

  private static PeerDirectory.Peer live(EdgeDigest digest) {
    return new PeerDirectory.Peer(digest, InetSocketAddress.createUnresolved("host", 1));
  }

  private boolean isOffered(EdgeDigest peer, LogPosition own, EdgeDigest other, long now) {
    return state.offerFor(peer, own, () -> List.of(live(peer), live(other)), now).isPresent();
  }

  @Example
  void testOlderVersionIsNotTaken() {
    assertThat(state.take(catalog(5), "0", "store")).isPresent();
    assertThat(state.take(catalog(4), "1", "store")).isEmpty();
    assertThat(state.version()).isEqualTo(5);
  }

  @Example
  void testConfigurationIsOfferedOnceASecondToAPeerThatHasReadAll() {
    state.take(catalog(5), "0", "store");
    EdgeDigest other = digest("z", 5, END);
    assertThat(isOffered(digest("p", 4, END), END, other, 0)).isTrue();
    assertThat(isOffered(digest("p", 4, END), END, other, SECOND - 1)).isFalse();
    assertThat(isOffered(digest("p", 4, END), END, other, SECOND)).isTrue();
    assertThat(isOffered(digest("p", 5, END), END, other, 5 * SECOND)).isFalse();
  }

  @Example
  void testNothingIsOfferedToAPeerThatHasYetToReadOrOfAnotherEra() {
    state.take(catalog(5), "0", "store");
    EdgeDigest other = digest("z", 5, END);
    assertThat(isOffered(digest("p", 4, LogPosition.of(2, 6)), END, other, 0)).isFalse();
    assertThat(isOffered(digest("p", 4, LogPosition.of(1, 9)), END, other, 0)).isFalse();
    LogPosition unnamed = LogPosition.of(0, 7);
    assertThat(isOffered(digest("p", 4, unnamed), unnamed, other, 0)).isFalse();
  }

  @Example
  void testOnlyTheFirstInstanceByNameOffers() {
    state.take(catalog(5), "0", "store");
    assertThat(isOffered(digest("p", 4, END), END, digest("a", 5, END), 0)).isFalse();
    assertThat(isOffered(digest("p", 4, END), END, digest("a", 4, END), 0)).isTrue();
  }
}
