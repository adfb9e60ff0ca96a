package org.kumquatplank.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.config.WorkClass.WhenUnmet;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.quality.QualityTracker;

class RouterTest {
  private static final String DIGEST = "0".repeat(64);
  private static final WorkClass TAG =
      new WorkClass("tag", 0.8, 250, 2_000, 1_000_000, WhenUnmet.BEST);

  private final QualityTracker quality = QualityTracker.create();
  private final Router router = Router.create("self", "r", quality);
  private int requestCount;

  private static Configuration configuration(Stage small, Stage large) {
    return Configuration.of(
        1,
        List.of(TAG),
        List.of(
            new ClientAccount("all", DIGEST, Set.of("tag"), Set.of("*"), Set.of()),
            new ClientAccount("few", DIGEST, Set.of("tag"), Set.of("small"), Set.of())),
        List.of(
            new ModelVersion("small", 100_000, 400_000, small),
            new ModelVersion("large", 1_000_000, 4_000_000, large)),
        List.of());
  }

  private static ListedInstance backend(String id, boolean leaving, String... versions) {
    return new ListedInstance(
        id, ListedInstance.Role.ENGINE, "", "127.0.0.1", 1, 0, "d", "r", leaving, Set.of(versions));
  }

  private void configureBackends(int slots) {
    router.setConfiguration(configuration(Stage.LIVE, Stage.LIVE));
    router.setInstanceList(
        new InstanceList(List.of(backend("a", false, "small"), backend("b", false, "large"))));
    router.setSlots("a", slots);
    router.setSlots("b", slots);
  }

  private RoutingRequest newRequest(String account, Optional<String> pinned) {
    return new RoutingRequest(
        "w" + requestCount++, account, TAG, 10, pinned, pinned.isPresent(), 0);
  }

  private void rate(String version, double value, int times) {
    for (int i = 0; i < times; i++) {
      quality.addRating(TAG, version, value);
    }
  }

  private String firstVersionOf(List<Action> actions) {
    return ((Action.Send) actions.get(0)).plan().firstVersion();
  }

  @Example
  void testCheapestVersionThatMeetsTheTargetIsChosen() {
    configureBackends(100);
    rate("small", 0.9, 100);
    rate("large", 1, 100);
    assertThat(firstVersionOf(router.submit(newRequest("all", Optional.empty()), 0)))
        .isEqualTo("small");
  }

  @Example
  void testVersionThatFallsBelowTheTargetIsNotChosen() {
    configureBackends(100);
    rate("large", 1, 100);
    rate("small", 0.9, 100);
    rate("small", 0.3, 100);
    assertThat(firstVersionOf(router.submit(newRequest("all", Optional.empty()), 0)))
        .isEqualTo("large");
  }

  @Example
  void testUnratedTrialRequestsAreLimited() {
    configureBackends(1_000);
    int trials = 0;
    for (int i = 0; i < 200; i++) {
      trials +=
          firstVersionOf(router.submit(newRequest("all", Optional.empty()), 0)).equals("small")
              ? 1
              : 0;
    }
    assertThat(trials).isEqualTo(12);
  }

  @Example
  void testPinnedVersionIsUsedWhenACheaperOneMeetsTheTarget() {
    configureBackends(100);
    rate("small", 0.9, 100);
    assertThat(firstVersionOf(router.submit(newRequest("all", Optional.of("large")), 0)))
        .isEqualTo("large");
  }

  @Example
  void testQueuedRequestIsRejectedShortlyBeforeItsDeadline() {
    configureBackends(1);
    router.submit(newRequest("few", Optional.empty()), 0);
    assertThat(router.submit(newRequest("few", Optional.empty()), 0)).isEmpty();
    assertThat(router.tick(1_000_000)).noneMatch(Action.Reject.class::isInstance);
    List<Action> actions = router.tick(1_950_000);
    assertThat(actions)
        .anyMatch(a -> a instanceof Action.Reject r && r.code() == ErrorCode.DEADLINE_UNREACHABLE);
  }

  @Example
  void testCancelledRequestFreesItsSlotForTheNext() {
    configureBackends(1);
    RoutingRequest first = newRequest("few", Optional.empty());
    router.submit(first, 0);
    assertThat(router.submit(newRequest("few", Optional.empty()), 0)).isEmpty();
    assertThat(router.cancel(first.id(), 1)).singleElement().isInstanceOf(Action.Send.class);
  }

  @Example
  void testRetryGoesToASuspectedBackendRatherThanTheOneThatFailed() {
    configureBackends(2);
    router.setInstanceList(
        new InstanceList(List.of(backend("a", false, "small"), backend("b", false, "small"))));
    RoutingRequest request = newRequest("all", Optional.of("small"));
    assertThat(router.submit(request, 0)).hasSize(1);
    assertThat(router.ownLoads()).containsExactly(new PeerLoad("b", 1, 0));
    router.recordPeerSuspects(List.of("a"), 0);
    router.recordFailure(request.id(), 0);
    assertThat(router.retry(request.id(), false, 0).map(Action.Send::backend)).contains("a");
  }

  @Example
  void testRetryStaysAtTheFailedBackendIfTheOtherIsFull() {
    configureBackends(2);
    router.setInstanceList(
        new InstanceList(List.of(backend("a", false, "small"), backend("b", false, "small"))));
    router.setPeerLoads("peer", List.of(new PeerLoad("a", 2, 0)));
    RoutingRequest request = newRequest("all", Optional.of("small"));
    assertThat(router.submit(request, 0)).hasSize(1);
    router.recordFailure(request.id(), 0);
    assertThat(router.retry(request.id(), false, 0).map(Action.Send::backend)).contains("b");
  }

  @Example
  void testDelayIsNotifiedOnce() {
    configureBackends(1);
    router.submit(newRequest("few", Optional.empty()), 0);
    router.submit(newRequest("few", Optional.empty()), 0);
    List<Action> notified = new ArrayList<>();
    for (long now = 0; now < 500_000; now += 10_000) {
      notified.addAll(router.tick(now));
    }
    assertThat(notified).singleElement().isInstanceOf(Action.NotifyDelay.class);
  }

  @Example
  void testNoRequestIsSentToAForbiddenVersionOrLeavingBackend() {
    Random random = new Random(5);
    configureBackends(2);
    Stage[] stages = Stage.values();
    Configuration configuration = configuration(Stage.LIVE, Stage.LIVE);
    boolean leaving = false;
    List<String> inFlight = new ArrayList<>();
    for (long now = 0; now < 20_000; now++) {
      List<Action> actions = new ArrayList<>();
      switch (random.nextInt(6)) {
        case 0 -> {
          configuration = configuration(stages[random.nextInt(3)], stages[random.nextInt(3)]);
          router.setConfiguration(configuration);
        }
        case 1 -> {
          leaving = random.nextBoolean();
          router.setInstanceList(
              new InstanceList(
                  List.of(backend("a", leaving, "small"), backend("b", false, "large"))));
        }
        case 2 -> {
          if (!inFlight.isEmpty()) {
            actions.addAll(router.recordEnd(inFlight.remove(0), 3, true, now * 1_000));
          }
        }
        case 3 -> actions.addAll(router.tick(now * 1_000));
        default -> {
          RoutingRequest request =
              new RoutingRequest(
                  "w" + now,
                  random.nextBoolean() ? "all" : "few",
                  TAG,
                  10,
                  random.nextInt(4) == 0 ? Optional.of("large") : Optional.empty(),
                  false,
                  now * 1_000);
          actions.addAll(router.submit(request, now * 1_000));
        }
      }
      for (Action action : actions) {
        if (action instanceof Action.Send s) {
          inFlight.add(s.request().id());
          assertThat(configuration.permits(s.request().account(), s.plan().firstVersion()))
              .isTrue();
          assertThat(s.backend().equals("a") && leaving).isFalse();
        }
      }
    }
    assertThat(inFlight.size()).isLessThanOrEqualTo(4);
  }
}
