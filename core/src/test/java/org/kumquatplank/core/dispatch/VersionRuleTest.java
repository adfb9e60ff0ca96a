package org.kumquatplank.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RegionRule;

class VersionRuleTest {
  private static final BackendServer OLD = Samples.server("o", "pool", "a", "v1");
  private static final BackendServer NEW = Samples.server("n", "pool", "a", "v2");

  private static int countSentToNew(VersionRule rule) {
    int sentToNew = 0;
    for (int i = 0; i < 1_000; i++) {
      DispatchRequest request = Samples.request(Samples.stream(3), "request-" + i);
      assertThat(rule.permits(NEW, request)).isNotEqualTo(rule.permits(OLD, request));
      sentToNew += rule.permits(NEW, request) ? 1 : 0;
    }
    return sentToNew;
  }

  @Example
  void testTrialGetsItsShareAndEachRequestHasOneVersion() {
    assertThat(countSentToNew(new VersionRule.Trial("v2", 0.06, false))).isBetween(30, 90);
    assertThat(countSentToNew(new VersionRule.Trial("v2", 0.35, false))).isBetween(300, 400);
  }

  @Example
  void testSessionStaysOnOldVersionUntilSessionsAreIncluded() {
    DispatchRequest withoutSession = Samples.request(Samples.stream(3), "x");
    DispatchRequest inSession =
        new DispatchRequest(
            "x",
            withoutSession.route(),
            "pool",
            "t",
            1,
            new RegionRule.Anywhere(),
            Optional.of("s"),
            withoutSession.promptSegments(),
            1,
            1,
            0,
            1);
    assertThat(new VersionRule.Trial("v2", 1, false).permits(NEW, inSession)).isFalse();
    assertThat(new VersionRule.Trial("v2", 1, true).permits(NEW, inSession)).isTrue();
  }

  /**
   * Guards against a lost stream: both retries of one stream went to a bad version on trial, and no
   * send was left (found in test run hunt-9935-11).
   */
  @Example
  void testRetryNeverGoesToVersionOnTrial() {
    VersionRule rule = new VersionRule.Trial("v2", 1, true).forRetry();
    DispatchRequest request = Samples.request(Samples.stream(3), "x");
    assertThat(rule.permits(NEW, request)).isFalse();
    assertThat(rule.permits(OLD, request)).isTrue();
  }
}
