package org.kumquatplank.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import net.jqwik.api.Example;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;

class ErrorResponsesTest {
  // An error with a time for the retry was read as "not run", whatever it said.
  @Example
  void testParsedErrorKeepsExecutionStatusBesideRetryTime() {
    String body =
        "{\"error\":{\"message\":\"m\",\"type\":\"t\",\"code\":\"log_unavailable\","
            + "\"ran\":\"unknown\",\"retry_at\":\"2026-01-01T00:00:00Z\"}}";
    RouterException e = ErrorResponses.parse(body).orElseThrow();
    assertThat(e.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    assertThat(e.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    assertThat(e.retryAt()).contains(Instant.parse("2026-01-01T00:00:00Z"));
  }
}
