package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.ErrorResponses;
import org.kumquatplank.http.Request;

/**
 * Invalid requests through real processes. Each is rejected with its own error code, is reported as
 * not run, and reaches no backend server.
 */
class RejectionProcessTest {
  private static final String CHAT_PATH = "/v1/chat/completions";

  private static Request authenticated(Request request, String key) {
    return request.withHeader("Authorization", "Bearer " + key);
  }

  private static void assertRefused(Cluster cluster, Request request, ErrorCode code) {
    RouterException e = ErrorResponses.parse(cluster.send(0, request).body()).orElseThrow();
    assertThat(e.code()).isEqualTo(code);
    assertThat(e.executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
  }

  @Example
  void testBadInputIsRejectedAndReachesNoBackendServer() {
    try (Cluster cluster = new Cluster(1)) {
      Request good = Cluster.chatRequest("tag", 3);
      assertRefused(
          cluster,
          authenticated(Request.post(CHAT_PATH, "{"), Cluster.HEAD_OFFICE_KEY),
          ErrorCode.MALFORMED_REQUEST);
      assertRefused(cluster, Request.post(CHAT_PATH, good.body()), ErrorCode.CREDENTIAL_MISSING);
      assertRefused(
          cluster,
          authenticated(Request.post(CHAT_PATH, good.body()), "wrong"),
          ErrorCode.CREDENTIAL_WRONG);
      assertRefused(cluster, Cluster.chatRequest("nothing", 3), ErrorCode.UNKNOWN_CLASS);
      assertRefused(
          cluster,
          authenticated(
              Request.post(CHAT_PATH, Cluster.chatRequest("retelling", 3).body()),
              Cluster.BRANCH_KEY),
          ErrorCode.CLASS_NOT_ALLOWED);
      assertRefused(
          cluster,
          authenticated(Request.post(CHAT_PATH, "x".repeat(1 << 21)), Cluster.HEAD_OFFICE_KEY),
          ErrorCode.BODY_TOO_LARGE);
      assertRefused(
          cluster,
          authenticated(Request.post("/v1/services/press/bookings", "{}"), Cluster.HEAD_OFFICE_KEY),
          ErrorCode.KEY_MISSING);
      assertRefused(
          cluster,
          authenticated(Request.get("/v1/services/nothing/x"), Cluster.HEAD_OFFICE_KEY),
          ErrorCode.UNKNOWN_SERVICE);
      assertRefused(
          cluster,
          authenticated(Request.get("/v1/services/press/stock/1"), Cluster.BRANCH_KEY),
          ErrorCode.SERVICE_NOT_ALLOWED);
      assertRefused(
          cluster, good.withHeader("Session-Token", "forged.token"), ErrorCode.MALFORMED_REQUEST);
      assertRefused(
          cluster,
          authenticated(Request.get(CHAT_PATH), Cluster.HEAD_OFFICE_KEY),
          ErrorCode.METHOD_NOT_ALLOWED);
      assertRefused(
          cluster, good.withHeader("X-Long", "x".repeat(20_000)), ErrorCode.HEADER_TOO_LARGE);
      assertThat(cluster.servedRequests()).isEmpty();
      assertThat(cluster.get(cluster.plainService, "/stats").getAsJsonObject("runs").size())
          .isZero();
    }
  }
}
