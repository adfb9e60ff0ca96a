package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

class ResponseBufferTest {
  // An object per chunk took 30 times the memory that the limit on a response allows.
  @Example
  void testTinyChunksShareBlocks() {
    ResponseBuffer buffer = new ResponseBuffer();
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < 100_000; i++) {
      char digit = (char) ('0' + i % 10);
      buffer.add(Unpooled.wrappedBuffer(new byte[] {(byte) digit}));
      expected.append(digit);
    }
    ByteBuf all = buffer.take();
    assertThat(all.nioBufferCount()).isLessThan(40);
    assertThat(all.toString(StandardCharsets.US_ASCII)).isEqualTo(expected.toString());
  }

  @Example
  void testChunkThatDoesNotFitIntoABlockIsSplit() {
    ResponseBuffer buffer = new ResponseBuffer();
    buffer.add(Unpooled.copiedBuffer("abc", StandardCharsets.US_ASCII));
    buffer.add(Unpooled.copiedBuffer("d", StandardCharsets.US_ASCII));
    buffer.add(Unpooled.copiedBuffer("efghij", StandardCharsets.US_ASCII));
    assertThat(buffer.take().toString(StandardCharsets.US_ASCII)).isEqualTo("abcdefghij");
  }
}
