package org.kumquatplank.link;

import org.kumquatplank.link.proto.Frame;

/** Handles the frames that peers send. Implementations are thread-safe and may block. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Returns the reply to a frame.
   *
   * @param peer instance id of the sender, authenticated by the handshake
   * @param frame received frame
   */
  Frame.Builder handle(String peer, Frame frame);
}
