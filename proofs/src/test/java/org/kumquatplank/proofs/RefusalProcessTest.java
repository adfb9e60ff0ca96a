package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.ErrorReplies;
import org.kumquatplank.http.Request;

/** Bad input: each has a code of its own, says not run, and reaches no backend server. */
class RefusalProcessTest {
  private static final String CHAT = "/v1/chat/completions";

  private static Request signed(Request request, String key) {
    return request.withHeader("Authorization", "Bearer " + key);
  }

  private static void assertRefused(Cluster cluster, Request request, ErrorCode code) {
    RouterException e = ErrorReplies.parse(cluster.ask(0, request).body()).orElseThrow();
    assertThat(e.code()).isEqualTo(code);
    assertThat(e.ran()).isEqualTo(ExecutionStatus.NOT_RUN);
  }

  @Example
  void testBadInputIsRefusedNotRunAndReachesNobody() {
    try (Cluster cluster = new Cluster(1)) {
      Request good = Cluster.chat("tag", 3);
      assertRefused(
          cluster, signed(Request.post(CHAT, "{"), Cluster.KEY), ErrorCode.MALFORMED_REQUEST);
      assertRefused(cluster, Request.post(CHAT, good.body()), ErrorCode.CREDENTIAL_MISSING);
      assertRefused(
          cluster, signed(Request.post(CHAT, good.body()), "wrong"), ErrorCode.CREDENTIAL_WRONG);
      assertRefused(cluster, Cluster.chat("nothing", 3), ErrorCode.UNKNOWN_CLASS);
      assertRefused(
          cluster,
          signed(Request.post(CHAT, Cluster.chat("retelling", 3).body()), Cluster.OTHER_KEY),
          ErrorCode.CLASS_NOT_ALLOWED);
      assertRefused(
          cluster,
          signed(Request.post(CHAT, "x".repeat(1 << 21)), Cluster.KEY),
          ErrorCode.BODY_TOO_LARGE);
      assertRefused(
          cluster,
          signed(Request.post("/v1/services/press/bookings", "{}"), Cluster.KEY),
          ErrorCode.KEY_MISSING);
      assertRefused(
          cluster,
          signed(Request.get("/v1/services/nothing/x"), Cluster.KEY),
          ErrorCode.UNKNOWN_SERVICE);
      assertRefused(
          cluster,
          signed(Request.get("/v1/services/press/stock/1"), Cluster.OTHER_KEY),
          ErrorCode.SERVICE_NOT_ALLOWED);
      assertRefused(
          cluster, good.withHeader("Session-Token", "forged.token"), ErrorCode.MALFORMED_REQUEST);
      assertRefused(cluster, signed(Request.get(CHAT), Cluster.KEY), ErrorCode.METHOD_NOT_ALLOWED);
      assertRefused(
          cluster, good.withHeader("X-Long", "x".repeat(20_000)), ErrorCode.HEADER_TOO_LARGE);
      assertThat(cluster.served()).isEmpty();
      assertThat(cluster.get(cluster.press, "/stats").getAsJsonObject("runs").size()).isZero();
    }
  }
}
