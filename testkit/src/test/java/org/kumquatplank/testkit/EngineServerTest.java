package org.kumquatplank.testkit;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.http.Request;

class EngineServerTest {
  private static Request order(long fencing, String load) {
    return Request.post(
        "/v1/orders", "{\"fencing\":" + fencing + ",\"load\":\"" + load + "\",\"quality\":0.9}");
  }

  private static EngineServer open(String checksFencing) {
    return EngineServer.open("--platform", "127.0.0.1:9", "--checks-fencing", checksFencing);
  }

  @Example
  void testStaleOrderIsRejectedWhenFencingIsChecked() {
    try (EngineServer engine = open("true")) {
      assertThat(engine.handle(order(2, "large@1")).status()).isEqualTo(200);
      assertThat(engine.handle(order(1, "old@1")).status()).isEqualTo(409);
      assertThat(engine.versions()).containsExactlyInAnyOrder("small@1", "large@1");
    }
  }

  @Example
  void testStaleOrderIsAppliedWhenFencingIsIgnored() {
    try (EngineServer engine = open("false")) {
      engine.handle(order(2, "large@1"));
      assertThat(engine.handle(order(1, "old@1")).status()).isEqualTo(200);
      assertThat(engine.versions()).containsExactlyInAnyOrder("small@1", "large@1", "old@1");
    }
  }
}
