package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.kumquatplank.platform.wire.BackendResponseHead;

/**
 * What an exchange holds of responses: an unfinished one, and an error response and a refusal for
 * the case that no retry gives a better one.
 *
 * <p>Confined to the traffic thread.
 */
final class HeldResponses {
  private final EventSplitter events = new EventSplitter();
  private final ResponseBuffer buffer = new ResponseBuffer();
  private Optional<ErrorResponse> error = Optional.empty();
  private Optional<ErrorResponse> refusal = Optional.empty();

  /** An error response of a backend server. */
  record ErrorResponse(BackendResponseHead head, ByteBuf body) {}

  EventSplitter events() {
    return events;
  }

  ResponseBuffer buffer() {
    return buffer;
  }

  /**
   * Returns the response to end the request with, if one was kept.
   *
   * @param mayHaveRun whether the request may have run, so that no refusal is true
   */
  Optional<ErrorResponse> finalResponse(boolean mayHaveRun) {
    return error.or(() -> refusal.filter(r -> !mayHaveRun));
  }

  void keepError(ErrorResponse newError) {
    error = Optional.of(newError);
  }

  /** Keeps a refusal whose cause is the request itself; it says that the request did not run. */
  void keepRefusal(ErrorResponse newRefusal) {
    refusal = Optional.of(newRefusal);
  }

  void dropUnfinished() {
    events.dropPartial();
    buffer.clear();
  }

  void dropAll() {
    dropUnfinished();
    error = Optional.empty();
    refusal = Optional.empty();
  }

  int size() {
    return events.partialBytes() + buffer.size() + bytes(error) + bytes(refusal);
  }

  private static int bytes(Optional<ErrorResponse> response) {
    return response.map(r -> r.body().readableBytes()).orElse(0);
  }
}
