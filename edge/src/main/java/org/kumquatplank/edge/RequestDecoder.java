package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.kumquatplank.platform.wire.CallerProtocol.LocalResponse;

/**
 * Decoder that leaves the bytes of later requests undecoded while one is being answered, as they
 * take many times their size once decoded, and rejects requests with two body lengths, which allow
 * request smuggling.
 *
 * <p>A read, also of an empty buffer, lets it go on. Confined to the thread of its channel.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private final BooleanSupplier mayDecode;

  RequestDecoder(int maxHeadBytes, BooleanSupplier mayDecode) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeadBytes)
            .setMaxHeaderSize(maxHeadBytes));
    this.mayDecode = mayDecode;
  }

  /** Returns the response to a head that can't be read. */
  static Optional<LocalResponse> fault(HttpRequest request) {
    Throwable failure = request.decoderResult().cause();
    if (failure == null) {
      return Optional.empty();
    }
    boolean tooLarge =
        failure instanceof TooLongHttpHeaderException
            || failure instanceof TooLongHttpLineException;
    return Optional.of(tooLarge ? LocalResponse.LARGE_HEAD : LocalResponse.MALFORMED);
  }

  int undecodedBytes() {
    return actualReadableBytes();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (mayDecode.getAsBoolean()) {
      super.decode(ctx, in, out);
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "message has both Content-Length and Transfer-Encoding: chunked");
  }
}
