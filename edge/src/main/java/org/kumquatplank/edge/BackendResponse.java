package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.kumquatplank.core.dispatch.ResponseKind;
import org.kumquatplank.platform.wire.BackendResponseHead;

/**
 * A complete response of a backend server.
 *
 * @param head status and headers
 * @param body body
 */
record BackendResponse(BackendResponseHead head, ByteBuf body) {
  /** Returns why a response with a successful status can't be forwarded, if it can't. */
  static Optional<String> faultOfSuccess(BackendResponseHead head) {
    if (head.kind() != ResponseKind.SUCCESS) {
      return Optional.of("a success that denies its run");
    }
    return head.hasSeal() && !head.hasContentEncoding()
        ? Optional.empty()
        : Optional.of("a success that no backend server has made");
  }
}
