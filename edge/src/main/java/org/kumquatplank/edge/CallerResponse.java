package org.kumquatplank.edge;

import io.netty.handler.codec.http.FullHttpResponse;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;
import org.kumquatplank.core.dispatch.FailureOutcome;
import org.kumquatplank.core.dispatch.FinalResponse;
import org.kumquatplank.platform.wire.BackendResponseHead;
import org.kumquatplank.platform.wire.CallerProtocol;
import org.kumquatplank.platform.wire.CallerProtocol.LocalResponse;
import org.kumquatplank.platform.wire.CallerRequestHead;

/**
 * The message that ends an exchange.
 *
 * <p>Made only from a {@link FinalResponse}, so that no exchange can deny a run on its own.
 */
final class CallerResponse {
  private final FullHttpResponse message;
  private final String outcome;

  private CallerResponse(FullHttpResponse message, String outcome) {
    this.message = message;
    this.outcome = outcome;
  }

  /**
   * Returns the response to a request: one of a backend server with its status, headers and body
   * unchanged, or one of this router.
   *
   * @param retryAfter supplies the delay after which a request that has not run may be retried,
   *     seconds
   * @param reason reason in a response of this router
   */
  static CallerResponse of(
      FinalResponse<BackendResponse> end,
      CallerRequestHead request,
      DoubleSupplier retryAfter,
      String reason) {
    return switch (end) {
      case FinalResponse.Forwarded<BackendResponse> forwarded -> forwarded(forwarded.response());
      case FinalResponse.Local<BackendResponse> local ->
          local(local.outcome(), request, retryAfter, reason);
    };
  }

  private static CallerResponse forwarded(BackendResponse response) {
    BackendResponseHead head = response.head();
    return new CallerResponse(
        CallerResponses.whole(head.status(), head.forwardedHeaders(), response.body()),
        head.isSuccess() ? "answered" : "failed_at_backend");
  }

  private static CallerResponse local(
      FailureOutcome outcome, CallerRequestHead request, DoubleSupplier retryAfter, String reason) {
    OptionalDouble seconds =
        outcome == FailureOutcome.NOT_RUN
            ? OptionalDouble.of(retryAfter.getAsDouble())
            : OptionalDouble.empty();
    return new CallerResponse(
        CallerProtocol.localResponse(
            LocalResponse.of(outcome), request.attemptId(), seconds, reason),
        outcome + ": " + reason);
  }

  FullHttpResponse message() {
    return message;
  }

  /** Returns the outcome as it is logged. */
  String outcome() {
    return outcome;
  }
}
