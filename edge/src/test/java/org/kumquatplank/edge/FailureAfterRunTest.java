package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Locale;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/**
 * Backend servers that fail a request after they ran it, with a status by which callers are told
 * that a request did not run. Only {@code X-Not-Executed} says so.
 */
class FailureAfterRunTest {
  private static final int[] NOT_RUN_STATUSES = {408, 429, 503};

  private static void assertUnknown(String response) {
    assertThat(EdgeFixture.status(response)).isEqualTo(502);
    assertThat(response.toLowerCase(Locale.ROOT))
        .doesNotContain("x-response-seal")
        .doesNotContain("retry-after");
  }

  /** Guards against an order that is sent a second time because the first run was denied. */
  @Example
  void testOrderThatRanIsNotReportedAsNotRun() throws IOException {
    for (int status : NOT_RUN_STATUSES) {
      try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(status, "failed"))) {
        assertUnknown(edge.send("POST", "/order/x", "o", ""));
        assertThat(edge.backend(0).ran()).containsExactly("o");
      }
    }
  }

  @Example
  void testStreamThatRanIsNotReportedAsNotRun() throws IOException {
    for (int status : NOT_RUN_STATUSES) {
      try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(status, "failed"))) {
        assertUnknown(edge.send("POST", "/tell/x", "t", "X-Model: *\r\n"));
        assertThat(edge.backend(0).ran()).containsExactly("t");
      }
    }
  }

  @Example
  void testRefusalAfterAFailureThatRanIsNotReportedAsNotRun() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(
            r -> new Behaviour.Answer(503, "failed"), r -> new Behaviour.Answer(429, "failed"))) {
      assertUnknown(edge.send("GET", "/read/x", "both", ""));
      assertThat(edge.backend(0).ran()).containsExactly("both");
      assertThat(edge.backend(1).ran()).containsExactly("both");
    }
    for (int i = 0; i < 5; i++) {
      try (EdgeFixture edge =
          EdgeFixture.start(
              r -> new Behaviour.Answer(503, "failed"), r -> new Behaviour.Refuse())) {
        assertUnknown(edge.send("GET", "/read/x", "one", ""));
        assertThat(edge.backend(0).ran()).containsExactly("one");
      }
    }
  }

  /** Guards against a "not run" for a response that was dropped to ask a larger model. */
  @Example
  void testRefusalByALargerModelIsNotReportedAsNotRun() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(
            r ->
                r.header("x-model").equals("s")
                    ? new Behaviour.Stream(2, 0, 0)
                    : new Behaviour.Refuse())) {
      String response = edge.send("POST", "/tell/x", "t", "X-Model: *\r\n");
      assertThat(edge.backend(0).ran()).hasSizeGreaterThan(1);
      assertThat(EdgeFixture.status(response)).isIn(502, 504);
    }
  }

  @Example
  void testFailureWithAnotherStatusIsForwardedUnchanged() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(500, "failed"))) {
      String response = edge.send("POST", "/order/x", "o", "");
      assertThat(EdgeFixture.status(response)).isEqualTo(500);
      assertThat(response).contains("seal-of-i-0").endsWith("failed");
    }
  }

  /** A success that denies its own run shows neither, so it can't be forwarded or repeated. */
  @Example
  void testSuccessThatDeniesItsRunIsUnknown() throws IOException {
    Behaviour contradiction = new Behaviour.AnswerWith("X-Not-Executed: 1\r\n", "done");
    try (EdgeFixture edge = EdgeFixture.start(r -> contradiction)) {
      assertUnknown(edge.send("POST", "/order/x", "o", ""));
      assertThat(edge.backend(0).ran()).containsExactly("o");
    }
  }
}
