package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

class EventSplitterTest {
  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  @Example
  void testEventsArriveByteByByte() {
    EventSplitter events = new EventSplitter();
    String stream = "id: 1\r\ndata: a\r\n\r\n\n\nid:2\ndata: b\n\n:c\n\nid: 3";
    StringBuilder complete = new StringBuilder();
    for (int i = 0; i < stream.length(); i++) {
      events
          .add(bytes(stream.substring(i, i + 1)))
          .ifPresent(e -> complete.append(e.toString(StandardCharsets.UTF_8)));
    }
    assertThat(complete.toString())
        .isEqualTo("id: 1\r\ndata: a\r\n\r\n\n\nid:2\ndata: b\n\n:c\n\n");
    assertThat(events.lastId()).contains("2");
    assertThat(events.hasPartial()).isTrue();
    events.dropPartial();
    assertThat(events.add(bytes("id: 4\n\nid: 5\n"))).isPresent();
    assertThat(events.lastId()).contains("4");
  }

  // Each byte of an unfinished event copied and scanned all bytes before it.
  @Example
  void testUnfinishedEventInTinyPiecesIsNotCopiedForEachPiece() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    EventSplitter events = new EventSplitter();
    ByteBuf piece = bytes("x");
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < 20_000; i++) {
      events.add(piece.resetReaderIndex());
    }
    assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(10_000_000);
  }
}
