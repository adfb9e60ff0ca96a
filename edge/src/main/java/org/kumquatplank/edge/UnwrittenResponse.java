package org.kumquatplank.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.Optional;

/**
 * The last response on a connection, until the caller has taken all of it.
 *
 * <p>Confined to the traffic thread.
 */
final class UnwrittenResponse {
  private final Channel channel;
  private Optional<ChannelFuture> write = Optional.empty();
  private long pendingBytes;

  UnwrittenResponse(Channel channel) {
    this.channel = channel;
  }

  /** Records that the last part of a response is being written. */
  void begin(ChannelFuture newWrite) {
    write = Optional.of(newWrite);
  }

  /** Returns whether bytes of the response wait for the caller to read. */
  boolean exists() {
    return write.isPresent() && !write.get().isDone();
  }

  /** Returns whether the caller has taken bytes since the last call. */
  boolean hasProgressed() {
    long before = pendingBytes;
    pendingBytes = exists() ? countPendingBytes() : 0;
    return pendingBytes != before;
  }

  private long countPendingBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }
}
