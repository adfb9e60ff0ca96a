package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/**
 * A backend server that writes an earlier rejection once more on a kept connection. It must not be
 * taken for the response to the next request, which the server runs.
 */
class StrayResponseTest {
  private static final String REJECTION = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n";
  private static final String END = "Content-Length: 0\r\n\r\n";

  /** Answers the first request, and writes stray bytes before the responses to later ones. */
  private static Behaviour strayAfterFirst(Received request, String stray) {
    return request.header("x-attempt-id").equals("first")
        ? new Behaviour.Answer(200, "one")
        : new Behaviour.StrayBytes(stray, "two");
  }

  private static String secondOrder(String stray) throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> strayAfterFirst(r, stray))) {
      assertThat(edge.send("POST", "/order/x", "first", "")).endsWith("one");
      String response = edge.send("POST", "/order/x", "second", "");
      assertThat(edge.backend(0).ran()).containsExactly("first", "second");
      return response;
    }
  }

  @Example
  void testRejectionOfAnEarlierRequestIsSkipped() throws IOException {
    String response = secondOrder(REJECTION + "X-Attempt-Id: first\r\n" + END);
    assertThat(EdgeFixture.status(response)).isEqualTo(200);
    assertThat(response).endsWith("two");
  }

  @Example
  void testRejectionWithoutIdOnKeptConnectionDoesNotMeanNotRun() throws IOException {
    assertThat(EdgeFixture.status(secondOrder(REJECTION + END))).isEqualTo(502);
  }

  @Example
  void testSuccessWithoutIdOnKeptConnectionIsNotForwarded() throws IOException {
    String stray = "HTTP/1.1 200 S\r\nX-Response-Seal: seal-of-i-0\r\nContent-Length: 3\r\n\r\nbad";
    assertThat(EdgeFixture.status(secondOrder(stray))).isEqualTo(502);
  }

  @Example
  void testBytesThatAreNoResponseDoNotMeanNotRun() throws IOException {
    assertThat(EdgeFixture.status(secondOrder("no response at all\r\n\r\n"))).isEqualTo(502);
  }
}
