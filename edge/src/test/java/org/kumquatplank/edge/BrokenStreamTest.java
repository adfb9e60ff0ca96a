package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/**
 * A stream that breaks off after some events while all other backend servers respond with an error.
 * The caller must see whole events only and a stream that does not end as complete.
 */
class BrokenStreamTest {
  private static final String EVENTS =
      "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n";

  private static String head(int status, Received request, String more) {
    return "HTTP/1.1 "
        + status
        + " Error-text\r\nX-Attempt-Id: "
        + request.header("x-attempt-id")
        + "\r\nX-Response-Seal: seal-of-"
        + request.header("x-target-replica")
        + "\r\nContent-Type: text/event-stream\r\n"
        + more
        + "\r\n";
  }

  private static void assertStreamBreaks(Function<Received, Behaviour> errorResponse)
      throws IOException {
    AtomicInteger starts = new AtomicInteger();
    Function<Received, Behaviour> script =
        r ->
            starts.getAndIncrement() == 0
                ? new Behaviour.Stream(6, 3, 100)
                : errorResponse.apply(r);
    try (EdgeFixture edge = EdgeFixture.start(script, script, script)) {
      String response = edge.send("POST", "/tell/x", "t1", "X-Model: *\r\n");
      assertThat(EdgeFixture.status(response)).isEqualTo(200);
      assertThat(starts.get()).isGreaterThan(1);
      assertThat(EdgeFixture.body(response)).isEqualTo(EVENTS);
      assertThat(response).doesNotContain("0\r\n\r\n").doesNotContain("Error-text");
    }
  }

  @Example
  void testErrorOfEachStatusIsNotJoinedToTheStream() throws IOException {
    for (int status : new int[] {302, 400, 404, 421, 429, 500, 502, 503, 504}) {
      assertStreamBreaks(
          r -> new Behaviour.Raw(head(status, r, "Content-Length: 13\r\n") + "data: bad\n\n!!"));
    }
  }

  @Example
  void testRejectionIsNotJoinedToTheStream() throws IOException {
    assertStreamBreaks(
        r ->
            new Behaviour.Raw(
                head(503, r, "X-Not-Executed: 1\r\nContent-Length: 11\r\n") + "data: bad\n\n"));
  }

  @Example
  void testErrorWithChunkedBodyIsNotJoinedToTheStream() throws IOException {
    StringBuilder chunks = new StringBuilder();
    for (char c : "data: bad\n\n".toCharArray()) {
      chunks.append("1\r\n").append(c).append("\r\n");
    }
    assertStreamBreaks(
        r ->
            new Behaviour.Raw(
                head(500, r, "Transfer-Encoding: chunked\r\n") + chunks + "0\r\n\r\n"));
  }

  @Example
  void testErrorWithoutLengthIsNotJoinedToTheStream() throws IOException {
    assertStreamBreaks(r -> new Behaviour.Raw(head(500, r, "") + "data: bad\n\n"));
  }

  @Example
  void testBytesThatAreNoResponseAreNotJoinedToTheStream() throws IOException {
    assertStreamBreaks(r -> new Behaviour.Raw("data: bad\n\n"));
  }

  @Example
  void testSuccessWithoutSealIsNotJoinedToTheStream() throws IOException {
    assertStreamBreaks(
        r ->
            new Behaviour.Raw(
                FakeBackendServer.openHead(r).replaceAll("X-Response-Seal[^\n]*\n", "")
                    + "Content-Length: 11\r\n\r\ndata: bad\n\n"));
  }

  @Example
  void testSuccessThatIsNoEventStreamIsNotJoinedToTheStream() throws IOException {
    assertStreamBreaks(
        r ->
            new Behaviour.Raw(
                FakeBackendServer.openHead(r)
                    + "Content-Type: text/plain\r\nContent-Length: 10\r\n\r\nbad answer"));
  }
}
