package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Backend servers that close the connection within the head of a response. */
class TruncatedHeadTest {
  private static final String PLAIN = "Content-Length: 4\r\n\r\n";
  private static final String CHUNKED =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EVENTS =
      "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n";

  private static Function<Received, Behaviour> truncated(String framing, AtomicInteger length) {
    return r -> {
      String head = FakeBackendServer.openHead(r) + framing;
      return new Behaviour.Raw(head.substring(0, Math.min(length.get(), head.length() - 1)));
    };
  }

  /** Returns a length that no head has, so that heads are cut before their last byte. */
  private static int maxLength(String framing) {
    return 110 + framing.length();
  }

  /** Guards against a head that is cut and reaches the caller as a success with an empty body. */
  @Example
  void testTruncatedHeadOfAPlainResponseIsNoSuccess() throws IOException {
    AtomicInteger length = new AtomicInteger();
    try (EdgeFixture edge = EdgeFixture.start(truncated(PLAIN, length))) {
      for (; length.get() < maxLength(PLAIN); length.incrementAndGet()) {
        String order = edge.send("POST", "/order/x", "o" + length, "Content-Length: 0\r\n");
        assertThat(EdgeFixture.status(order)).as("%d bytes", length.get()).isEqualTo(502);
      }
    }
  }

  @Example
  void testTruncatedHeadOfAStreamIsNoSuccess() throws IOException {
    AtomicInteger length = new AtomicInteger();
    try (EdgeFixture edge = EdgeFixture.start(truncated(CHUNKED, length))) {
      for (; length.get() < maxLength(CHUNKED); length.incrementAndGet()) {
        String stream = edge.send("POST", "/tell/x", "t" + length, "X-Model: *\r\n");
        assertThat(EdgeFixture.status(stream)).as("%d bytes", length.get()).isEqualTo(502);
      }
    }
  }

  @Example
  void testTruncatedHeadOfAResumedStreamIsNotItsEnd() throws IOException {
    AtomicInteger starts = new AtomicInteger();
    AtomicInteger length = new AtomicInteger();
    Function<Received, Behaviour> cut = truncated(CHUNKED, length);
    Function<Received, Behaviour> script =
        r -> starts.getAndIncrement() == 0 ? new Behaviour.Stream(6, 3, 100) : cut.apply(r);
    for (; length.get() < maxLength(CHUNKED); length.addAndGet(7)) {
      starts.set(0);
      try (EdgeFixture edge = EdgeFixture.start(script, script)) {
        String stream = edge.send("POST", "/tell/x", "t", "X-Model: *\r\n");
        assertThat(EdgeFixture.body(stream)).isEqualTo(EVENTS);
        assertThat(stream).doesNotContain("0\r\n\r\n");
        assertThat(starts.get()).isGreaterThan(1);
      }
    }
  }
}
