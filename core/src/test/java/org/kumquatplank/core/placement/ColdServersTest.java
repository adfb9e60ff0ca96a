package org.kumquatplank.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.ColdStart;

class ColdServersTest {
  private static final long SECOND = 1_000_000;
  private static final ColdStart START = new ColdStart(12_000, 12);

  private final ColdServers servers = create(() -> Optional.of(START));

  private static ColdServers create(Supplier<Optional<ColdStart>> start) {
    return ColdServers.create(
        new ColdServers.Settings(new Member("self", "a", "r"), Map.of("a", "r"), 1.5, 5),
        service -> start.get(),
        0);
  }

  private static BackendServer server(long startedMillis, long coldMillis) {
    return new BackendServer(
        "s", startedMillis, "pool", "127.0.0.1", 1, "a", "v1", 16, coldMillis, false);
  }

  private static ColdNews news(long startedMillis, long until) {
    return new ColdNews("s", startedMillis, until);
  }

  @Example
  void testServerThatIsListedAtTheStartIsWarmUnlessItSaysOtherwise() {
    assertThat(servers.onListed(server(1, 0), 0).isCold(0)).isFalse();
    ColdServer cold = create(() -> Optional.of(START)).onListed(server(1, 3_000), 0);
    assertThat(cold.isCold(3 * SECOND - 1)).isTrue();
    assertThat(cold.isCold(3 * SECOND)).isFalse();
  }

  @Example
  void testProcessThatIsNewInTheListIsColdEvenIfItsEntryDoesNotSaySo() {
    servers.onListed(server(1, 0), 0);
    ColdServer state = servers.onListed(server(2, 0), 30 * SECOND);
    assertThat(state.isCold(42 * SECOND - 1)).isTrue();
    assertThat(state.isCold(42 * SECOND)).isFalse();
    assertThat(servers.takeChanges())
        .containsExactly(
            new ColdServers.Change("s", Optional.of(ColdServers.Source.NEW_IN_LIST), 12_000));
  }

  /** An entry that expired while the store was down returns with the same process. */
  @Example
  void testProcessThatReturnsToTheListIsNotNew() {
    servers.onListed(server(1, 0), 0);
    servers.onListEnd(60 * SECOND);
    assertThat(servers.onListed(server(1, 0), 60 * SECOND).isCold(60 * SECOND)).isFalse();
  }

  @Example
  void testEntryThatIsReadAgainDoesNotProlongTheColdTime() {
    ColdServer state = servers.onListed(server(1, 12_000), 0);
    servers.onListed(server(1, 12_000), 6 * SECOND);
    servers.onListed(server(1, 9_000), 7 * SECOND);
    assertThat(state.isCold(12 * SECOND)).isFalse();
  }

  @Example
  void testServerMayBecomeColdAgain() {
    ColdServer state = servers.onListed(server(1, 0), 0);
    servers.onListed(server(1, 12_000), 50 * SECOND);
    assertThat(state.isCold(62 * SECOND - 1)).isTrue();
    servers.onResponse(server(1, 0), 0, 55 * SECOND);
    assertThat(state.isCold(55 * SECOND)).isFalse();
    servers.onResponse(server(1, 0), 4_000, 70 * SECOND);
    assertThat(state.isCold(74 * SECOND - 1)).isTrue();
    assertThat(state.isCold(74 * SECOND)).isFalse();
  }

  /** Nothing is sent in the second after the news, as that second may already have its requests. */
  @Example
  void testServerThatWasInUseGetsNothingInTheSecondAfterTheNews() {
    ColdServer state = servers.onListed(server(1, 0), 0);
    servers.setMembers(List.of(), 20 * SECOND);
    servers.onResponse(server(1, 0), 12_000, 20 * SECOND);
    assertThat(state.permits(21 * SECOND)).isFalse();
    assertThat(state.permits(22 * SECOND)).isTrue();
  }

  @Example
  void testNewsOfAnotherInstanceIsTakenButDoesNotAddUp() {
    ColdServer state = servers.onListed(server(2, 0), 0);
    servers.onPeerNews(List.of(news(1, 12 * SECOND)), 0);
    assertThat(state.isCold(0)).isFalse();
    servers.onPeerNews(List.of(news(2, 12 * SECOND)), 0);
    assertThat(state.isCold(0)).isTrue();
    servers.onPeerNews(List.of(news(2, 12 * SECOND + 60_000)), SECOND);
    assertThat(state.isCold(12 * SECOND)).isFalse();
    servers.onPeerNews(List.of(news(2, 12 * SECOND + 60_000)), 12 * SECOND);
    assertThat(state.isCold(12 * SECOND)).isFalse();
  }

  @Example
  void testServiceWithoutAColdStartIsNotConcerned() {
    ColdServers none = create(Optional::empty);
    ColdServer state = none.onListed(server(1, 12_000), 0);
    none.onListed(server(2, 0), 30 * SECOND);
    none.onResponse(server(2, 0), 12_000, 30 * SECOND);
    assertThat(state.permits(0)).isTrue();
    assertThat(none.cold(30 * SECOND)).isEmpty();
  }

  /** The list and the configuration come in any order. */
  @Example
  void testNewsBeforeTheConfigurationOfTheServiceIsKept() {
    AtomicReference<Optional<ColdStart>> start = new AtomicReference<>(Optional.empty());
    ColdServers late = create(start::get);
    ColdServer state = late.onListed(server(1, 12_000), 0);
    late.setMembers(List.of(), SECOND);
    assertThat(state.isCold(SECOND)).isFalse();
    start.set(Optional.of(START));
    late.setMembers(List.of(), 2 * SECOND);
    assertThat(state.isCold(12 * SECOND - 1)).isTrue();
    assertThat(state.isCold(12 * SECOND)).isFalse();
    start.set(Optional.empty());
    late.setMembers(List.of(), 3 * SECOND);
    assertThat(state.permits(3 * SECOND)).isTrue();
  }

  @Example
  void testInstanceThatHasJustStartedSendsNothingUntilItKnowsItsPeers() {
    ColdServer state = servers.onListed(server(1, 30_000), 0);
    servers.setMembers(List.of(), 3 * SECOND);
    assertThat(state.permits(3 * SECOND)).isFalse();
    servers.setMembers(List.of(new Member("other", "a", "r")), 5 * SECOND);
    assertThat(state.permits(5 * SECOND)).isFalse();
    servers.setMembers(List.of(new Member("other", "a", "r")), 7 * SECOND);
    assertThat(state.permits(7 * SECOND)).isTrue();
  }

  @Example
  void testSendersAndTheirRate() {
    assertThat(ColdLimit.of(START, 23, 1, false)).isEqualTo(new ColdLimit(1, 85_000));
    assertThat(ColdLimit.of(START, 23, 6, false)).isEqualTo(new ColdLimit(6, 510_000));
    assertThat(ColdLimit.of(START, 23, 3, true)).isEqualTo(new ColdLimit(3, 340_000));
    assertThat(ColdLimit.of(START, 23, 78, false)).isEqualTo(new ColdLimit(11, 1_020_000));
    assertThat(ColdLimit.of(new ColdStart(12_000, 0.5), 0.5, 78, false))
        .isEqualTo(new ColdLimit(1, 4_080_000));
  }

  /** An instance that was cut off sees processes late, and must not make them cold for others. */
  @Example
  void testWhatIsOnlyAssumedIsNotTold() {
    servers.onListed(server(1, 0), 0);
    ColdServer state = servers.onListed(server(2, 0), 30 * SECOND);
    assertThat(state.isCold(31 * SECOND)).isTrue();
    assertThat(servers.cold(31 * SECOND)).isEmpty();
    servers.onListed(server(2, 6_000), 32 * SECOND);
    assertThat(servers.cold(33 * SECOND)).hasSize(1);
  }
}
