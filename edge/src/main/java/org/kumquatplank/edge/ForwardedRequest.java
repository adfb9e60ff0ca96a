package org.kumquatplank.edge;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.platform.wire.BackendProtocol;
import org.kumquatplank.platform.wire.CallerRequestHead;

/** A request of a caller as it is sent on to backend servers. Immutable. */
final class ForwardedRequest {
  private static final long MICROS_PER_MILLI = 1_000;

  private final CallerRequestHead head;
  private final byte[] body;
  private final DispatchRequest dispatch;

  ForwardedRequest(CallerRequestHead head, byte[] body, DispatchRequest dispatch) {
    this.head = head;
    this.body = body;
    this.dispatch = dispatch;
  }

  CallerRequestHead head() {
    return head;
  }

  DispatchRequest dispatch() {
    return dispatch;
  }

  /**
   * Encodes the request for a backend server.
   *
   * @param lastSentEvent id of the last event that was sent to the caller
   */
  FullHttpRequest encode(String backendId, Optional<String> model, Optional<String> lastSentEvent) {
    long remainingMillis =
        Math.max(1, (dispatch.deadlineMicros() - Clock.micros()) / MICROS_PER_MILLI);
    Optional<String> account =
        dispatch.account().isEmpty() ? Optional.empty() : Optional.of(dispatch.account());
    return BackendProtocol.request(
        head,
        body,
        new BackendProtocol.AddedHeaders(
            remainingMillis,
            backendId,
            account,
            model,
            dispatch.priority(),
            lastSentEvent.or(head::lastEventId)));
  }
}
