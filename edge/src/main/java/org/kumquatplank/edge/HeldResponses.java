package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.kumquatplank.platform.wire.BackendResponseHead;

/**
 * What an exchange holds of responses: an unfinished one, and an error response for the case that
 * no retry gives a better one.
 *
 * <p>Confined to the traffic thread.
 */
final class HeldResponses {
  private final EventSplitter events = new EventSplitter();
  private final ResponseBuffer buffer = new ResponseBuffer();
  private Optional<ErrorResponse> error = Optional.empty();

  /** An error response of a backend server. */
  record ErrorResponse(BackendResponseHead head, ByteBuf body) {}

  EventSplitter events() {
    return events;
  }

  ResponseBuffer buffer() {
    return buffer;
  }

  Optional<ErrorResponse> error() {
    return error;
  }

  void keepError(ErrorResponse newError) {
    error = Optional.of(newError);
  }

  void dropUnfinished() {
    events.dropPartial();
    buffer.clear();
  }

  void dropAll() {
    dropUnfinished();
    error = Optional.empty();
  }

  int size() {
    return events.partialBytes()
        + buffer.size()
        + error.map(e -> e.body().readableBytes()).orElse(0);
  }
}
